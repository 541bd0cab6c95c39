// Package journal keeps the operators' configuration in the key-value service.
//
// # The log
//
// Each accepted command is one Entry: who ordered what, and the change it makes.
// The head key holds the version in force and the last entries, and is replaced
// by compare-and-swap, so that an entry and its audit trail are one write. Older
// entries live in segments, and whole states in snapshots, both written before a
// head that names them. A host that follows the log reads little more than what
// changed.
//
// # Accepted
//
// Proposals that wait together become one write. A lost answer is settled before
// the operator is told: a command that is found in the log was accepted, under
// whatever write.
//
// # Never back
//
// A host adopts only higher versions, and only such that continue its own log.
// An older version offered by the service is reported and not believed, and no
// command is built on it. Hosts learn from one another as well: the relays of a
// zone watch the head, the others pull from whoever is seen ahead.
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

// HeadKey is where the head of the log lives.
const HeadKey = "configuration/head"

const (
	watchWait = 3 * time.Second
	// readsApart is the least time between two reads of the head by a watch.
	readsApart = 250 * time.Millisecond
	// mostQuiet is after how many watches without news the head is read whatever
	// its revision, because a restored service may count from a lower one.
	mostQuiet  = 10
	retryFirst = 250 * time.Millisecond
	retryMost  = 4 * time.Second
	// dutyPoll is how often a host looks whether it has become a relay.
	dutyPoll    = time.Second
	queuedHints = 64
)

// Journal follows the configuration and changes it. Make one with New.
type Journal struct {
	// KeyValue is for following, Commands for operators' changes.
	KeyValue keyvalue.Client
	Commands keyvalue.Client
	Log      *slog.Logger
	// Adopt takes each configuration that comes into force at this host.
	Adopt func(context.Context, configuration.Configuration)
	// Refuse is told of each offer that was not believed, and why.
	Refuse func(reason Refusal)
	// Relay tells whether this host watches the head.
	Relay func() bool
	// Connect makes a client for pulling from peers.
	Connect func() *http.Client

	mu sync.Mutex
	// state only ever moves to higher versions; mu is held to replace it.
	state atomic.Pointer[State]
	hints chan hint

	// turn is held by the one who commits what is queued.
	turn    chan struct{}
	queueMu sync.Mutex
	queue   []pending
}

// Refusal is why an offer was not believed.
type Refusal string

// The refusals.
const (
	// OlderOffered tells that the service's head went back.
	OlderOffered Refusal = "older_offered"
	// Forked tells that an offer does not continue this host's log.
	Forked Refusal = "forked"
)

// New makes a Journal that follows the log in kv.
func New(kv keyvalue.Client) *Journal {
	j := &Journal{
		KeyValue: kv,
		Commands: kv,
		Log:      slog.Default(),
		Adopt:    func(context.Context, configuration.Configuration) {},
		Refuse:   func(Refusal) {},
		Relay:    func() bool { return true },
		Connect:  func() *http.Client { return http.DefaultClient },
		hints:    make(chan hint, queuedHints),
		turn:     make(chan struct{}, 1),
	}
	j.state.Store(&State{})
	return j
}

// Version gives the version in force at this host, and the digest of the log
// that led to it.
func (j *Journal) Version() (identity.Version, uint64) {
	s := j.state.Load()
	return s.Configuration.Version, s.Digest
}

// Entries lists the last accepted commands that this host knows, oldest first.
func (j *Journal) Entries() []Entry {
	return j.state.Load().Entries
}

// History reads the last accepted commands, oldest first. Where the service
// does not answer it gives those that this host knows, with the error.
func (j *Journal) History(ctx context.Context) ([]Entry, error) {
	_, latest, err := j.latest(ctx, j.Commands)
	if err != nil {
		return j.Entries(), err
	}
	return latest.Entries, nil
}

// Run follows the log until ctx ends.
func (j *Journal) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return j.follow(ctx) })
	group.Go(func() error { return j.learn(ctx) })
	return group.Wait()
}

// follow watches the head while this host is a relay, or has nothing yet.
func (j *Journal) follow(ctx context.Context) error {
	var after keyvalue.Revision
	quiet := 0
	backOff := newPause()
	for ctx.Err() == nil {
		if version, _ := j.Version(); version != 0 && !j.Relay() {
			pause.For(ctx, dutyPoll)
			continue
		}
		value, err := j.KeyValue.Watch(ctx, HeadKey, after, watchWait)
		if quiet++; quiet == mostQuiet {
			after, quiet = 0, 0
		}
		if err == nil && value.Revision > after {
			err = j.see(ctx, j.KeyValue, value)
			if err == nil {
				after, quiet = value.Revision, 0
			}
		}
		if err == nil {
			backOff.Reset()
			pause.For(ctx, readsApart)
			continue
		}
		if ctx.Err() == nil {
			j.Log.Warn("configuration_unavailable", "error", err)
		}
		pause.For(ctx, backOff.NextBackOff())
	}
	return nil
}

// offer adopts next if it is higher than what is in force.
func (j *Journal) offer(ctx context.Context, next State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if next.Configuration.Version <= j.state.Load().Configuration.Version {
		return
	}
	j.state.Store(&next)
	j.Log.Info("configuration_adopted", "version", next.Configuration.Version)
	j.Adopt(ctx, next.Configuration)
}

// see takes the head as the service gave it, and reads what it lacks.
func (j *Journal) see(ctx context.Context, kv keyvalue.Client, value keyvalue.Value) error {
	next, err := j.reach(ctx, kv, value)
	if err != nil {
		return err
	}
	j.offer(ctx, next)
	return nil
}

// reach gives the state that a head stands for, from the present one.
func (j *Journal) reach(ctx context.Context, kv keyvalue.Client, value keyvalue.Value) (State, error) {
	h, err := parseHead(value)
	if err != nil {
		return State{}, err
	}
	present := *j.state.Load()
	next, err := h.catchUp(ctx, kv, present)
	var refused *refusedError
	if errors.As(err, &refused) {
		j.Refuse(refused.reason)
		j.Log.Warn("configuration_refused", "reason", refused.reason, "offered", h.Version, "version", present.Configuration.Version)
	}
	return next, err
}

func newPause() *backoff.ExponentialBackOff {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = retryFirst
	backOff.MaxInterval = retryMost
	backOff.Multiplier = 2
	return backOff
}
