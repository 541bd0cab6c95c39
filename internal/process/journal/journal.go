// Package journal stores the operators' configuration in the key-value service as
// a replicated log.
//
// # Log
//
// Each accepted command is one Entry: who sent it, when, and the change it makes.
// The head key holds the version in force and the latest entries. It is replaced
// by compare-and-swap, so a change and its audit record are one write. Older
// entries are in segments and complete states in snapshots; both are written
// before a head that refers to them. A host that follows the log reads little
// more than what changed.
//
// # Commits
//
// Proposals that are queued at the same time are committed in one write. If the
// response to a write is lost, its outcome is determined before the operator gets
// an answer: a command found in the log was accepted, whichever write added it.
//
// # Monotonic versions
//
// A host adopts only higher versions that continue its own log. If the service
// returns an older version, the host reports and ignores it and commits no
// command on top of it. Hosts also get the configuration from each other: the
// relays of a zone watch the head, the other hosts pull from peers with a higher
// version.
package journal

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// HeadKey is the key of the head of the log.
const HeadKey = "configuration/head"

const (
	watchWait = 3 * time.Second
	// minReadInterval is the minimum interval between two watches of the head.
	minReadInterval = 250 * time.Millisecond
	// maxUnchangedWatches is the number of watches without a change after which the
	// head is read regardless of its revision, because a restored service may count
	// from a lower revision.
	maxUnchangedWatches = 10
	initialBackOff      = 250 * time.Millisecond
	maxBackOff          = 4 * time.Second
	// relayCheckInterval is the interval at which a host checks whether it has
	// become a relay.
	relayCheckInterval = time.Second
	maxQueuedHints     = 64
)

// Journal follows the configuration log and appends to it. Create one with New.
type Journal struct {
	// KeyValue is used to follow the log, Commands to commit operators' changes.
	KeyValue keyvalue.Client
	Commands keyvalue.Client
	Log      *slog.Logger
	// OnAdopted is called with each configuration that comes into force at this host.
	OnAdopted func(context.Context, configuration.Configuration)
	// OnRefused is called with the reason for each version that was not adopted.
	OnRefused func(reason RefusalReason)
	// IsRelay reports whether this host is a relay, which watches the head.
	IsRelay func() bool
	// NewClient returns a new client for pulling from peers.
	NewClient func() *http.Client

	mu sync.Mutex
	// state only changes to higher versions; mu is held to replace it.
	state atomic.Pointer[State]
	hints chan hint

	// commitLock is held by the caller that commits the queue.
	commitLock chan struct{}
	queueMu    sync.Mutex
	queue      []pending
}

// RefusalReason is the reason why a version was not adopted.
type RefusalReason string

// Reasons for not adopting a version.
const (
	// OlderVersion means that the service's head has an older version than this
	// host.
	OlderVersion RefusalReason = "older_offered"
	// Forked means that the version does not continue this host's log.
	Forked RefusalReason = "forked"
)

// New returns a Journal that follows the log in kv.
func New(kv keyvalue.Client) *Journal {
	j := &Journal{
		KeyValue:   kv,
		Commands:   kv,
		Log:        slog.Default(),
		OnAdopted:  func(context.Context, configuration.Configuration) {},
		OnRefused:  func(RefusalReason) {},
		IsRelay:    func() bool { return true },
		NewClient:  func() *http.Client { return http.DefaultClient },
		hints:      make(chan hint, maxQueuedHints),
		commitLock: make(chan struct{}, 1),
	}
	j.state.Store(&State{})
	return j
}

// Version returns the version in force at this host and the digest of the log up
// to it.
func (j *Journal) Version() (identity.Version, uint64) {
	s := j.state.Load()
	return s.Configuration.Version, s.Digest
}

// Entries returns the latest accepted commands known to this host, oldest first.
func (j *Journal) Entries() []Entry {
	return j.state.Load().Entries
}

// History reads the latest accepted commands from the service, oldest first. If
// the service is unavailable, it returns those known to this host and the error.
func (j *Journal) History(ctx context.Context) ([]Entry, error) {
	_, latest, err := j.readLatest(ctx, j.Commands)
	if err != nil {
		return j.Entries(), err
	}
	return latest.Entries, nil
}

// Run follows the log until ctx ends.
func (j *Journal) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return j.watchHead(ctx) })
	group.Go(func() error { return j.pullFromPeers(ctx) })
	return group.Wait()
}

// watchHead watches the head while this host is a relay or has no configuration.
func (j *Journal) watchHead(ctx context.Context) error {
	var after keyvalue.Revision
	unchanged := 0
	backOff := newBackOff()
	for ctx.Err() == nil {
		if version, _ := j.Version(); version != 0 && !j.IsRelay() {
			pause.For(ctx, relayCheckInterval)
			continue
		}
		value, err := j.KeyValue.Watch(ctx, HeadKey, after, watchWait)
		if unchanged++; unchanged == maxUnchangedWatches {
			after, unchanged = 0, 0
		}
		if err == nil && value.Revision > after {
			err = j.applyHead(ctx, j.KeyValue, value)
			if err == nil {
				after, unchanged = value.Revision, 0
			}
		}
		if err == nil {
			backOff.Reset()
			pause.For(ctx, minReadInterval)
			continue
		}
		if ctx.Err() == nil {
			j.Log.Warn("configuration_unavailable", "error", err)
		}
		pause.For(ctx, backOff.NextBackOff())
	}
	return nil
}

// advance adopts next if its version is higher than the one in force.
func (j *Journal) advance(ctx context.Context, next State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if next.Configuration.Version <= j.state.Load().Configuration.Version {
		return
	}
	j.state.Store(&next)
	j.Log.Info("configuration_adopted", "version", next.Configuration.Version)
	j.OnAdopted(ctx, next.Configuration)
}

// applyHead adopts the state of a head read from the service.
func (j *Journal) applyHead(ctx context.Context, kv keyvalue.Client, value keyvalue.Value) error {
	next, err := j.readState(ctx, kv, value)
	if err != nil {
		return err
	}
	j.advance(ctx, next)
	return nil
}

// readState returns the state of a head, starting from the present state and
// reading the missing entries. It reports a head that must not be adopted.
func (j *Journal) readState(ctx context.Context, kv keyvalue.Client, value keyvalue.Value) (State, error) {
	h, err := parseHead(value)
	if err != nil {
		return State{}, err
	}
	present := *j.state.Load()
	next, err := h.catchUp(ctx, kv, present)
	var refused *refusedError
	if errors.As(err, &refused) {
		j.OnRefused(refused.reason)
		j.Log.Warn("configuration_refused", "reason", refused.reason, "offered", h.Version, "version", present.Configuration.Version)
	}
	return next, err
}

func newBackOff() *backoff.ExponentialBackOff {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = initialBackOff
	backOff.MaxInterval = maxBackOff
	backOff.Multiplier = 2
	return backOff
}
