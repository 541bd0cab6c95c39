package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// newJournal makes the journal, which passes each new version of the configuration to
// the controller. Heartbeats carry the journal's version.
func newJournal(
	kv keyvalue.Client, commands commandClient, s settings.Entry, c *controller.Controller,
	members *member.Members, m *meter.Meter, log *slog.Logger,
) *journal.Journal {
	j := journal.New(kv)
	j.Commands = commands.Client
	j.Log = log
	j.OnAdopted = func(ctx context.Context, adopted configuration.Configuration) {
		c.Post(ctx, controller.ConfigurationUpdate{Configuration: adopted})
	}
	j.OnRefused = func(reason journal.RefusalReason) {
		m.Counter(fmt.Sprintf("configuration_refused_total{reason=%q}", reason)).Inc()
	}
	j.IsRelay = members.IsRelay
	j.NewClient = func() *http.Client { return peer.NewClient(s.Peer.Keys, m.Dial("configuration")) }
	members.Version = j.Version
	members.OnPeerVersion = j.NotifyVersion
	return j
}

// bootstrap proposes the settings' initial configuration until the key-value
// service has a configuration.
func bootstrap(ctx context.Context, options Options, j *journal.Journal) error {
	if options.Settings.Bootstrap.Configuration == "" {
		return nil
	}
	for ctx.Err() == nil {
		err := j.Bootstrap(ctx, options.Bootstrap)
		if err == nil {
			return nil
		}
		options.Log.Warn("bootstrap_failed", "error", err)
		select {
		case <-time.After(bootstrapRetryInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

const bootstrapRetryInterval = time.Second
