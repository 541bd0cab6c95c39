// Package journal keeps the operators' configuration in the key-value service.
//
// The head key holds the configuration in force. A change replaces it by
// compare-and-swap, and hosts follow it by a bounded watch.
package journal

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// HeadKey is where the configuration in force lives.
const HeadKey = "configuration/head"

const (
	watchWait  = 10 * time.Second
	retryPause = time.Second
)

// Journal follows the configuration.
type Journal struct {
	KeyValue keyvalue.Client
	Log      *slog.Logger
	// Adopt takes each configuration that is seen.
	Adopt func(context.Context, configuration.Configuration)
}

// Bootstrap offers c as the first version where the service has none.
func (j Journal) Bootstrap(ctx context.Context, c configuration.Configuration) error {
	c.Version = 1
	data, err := json.Marshal(head{Configuration: c})
	if err != nil {
		return err
	}
	_, err = j.KeyValue.Put(ctx, HeadKey, keyvalue.Put{Data: data})
	if errors.Is(err, keyvalue.ErrConflict) {
		return nil
	}
	return err
}

// Run follows the head until ctx ends.
func (j Journal) Run(ctx context.Context) error {
	var after keyvalue.Revision
	for ctx.Err() == nil {
		value, err := j.watch(ctx, after)
		if err == nil && value.Revision > after {
			after = value.Revision
			err = j.adopt(ctx, value)
		}
		if err == nil {
			continue
		}
		j.Log.Warn("configuration_unavailable", "error", err)
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
	return nil
}

func (j Journal) watch(ctx context.Context, after keyvalue.Revision) (keyvalue.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*watchWait)
	defer cancel()
	return j.KeyValue.Watch(ctx, HeadKey, after, watchWait)
}

func (j Journal) adopt(ctx context.Context, value keyvalue.Value) error {
	var present head
	if err := json.Unmarshal(value.Data, &present); err != nil {
		return err
	}
	j.Adopt(ctx, present.Configuration)
	return nil
}
