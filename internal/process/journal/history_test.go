package journal_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	standin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	seeds     = 8
	operators = 4
	runFor    = 2 * time.Minute
)

// input is an operation: a command, or a read at a host if command is empty.
type input struct {
	command identity.Command
	host    int
}

// output is the result of an operation: the version, for a read also the commands
// that led to it, or that a command was refused or that its outcome is unknown.
type output struct {
	version  identity.Version
	commands string
	refused  bool
	unknown  bool
}

// register is the state of the model: the configuration as its users see it.
type register struct {
	// commands lists the accepted commands; the one at index has version index+2.
	commands string
	// seen is the highest version that was read at each host.
	seen [testZones * hostsPerZone]identity.Version
}

func (r register) list() []string { return strings.Fields(r.commands) }

// configurationModel is a register in which accepted commands are never lost, each
// command is accepted once, and reads at one host never go back to a lower
// version. Reads may be stale.
var configurationModel = (&porcupine.NondeterministicModel{
	Init: func() []interface{} { return []interface{}{register{}} },
	Step: func(state, in, out interface{}) []interface{} {
		next := nextRegisters(state.(register), in.(input), out.(output))
		states := make([]interface{}, len(next))
		for i, s := range next {
			states[i] = s
		}
		return states
	},
	Equal: func(a, b interface{}) bool { return a.(register) == b.(register) },
}).ToModel()

func nextRegisters(r register, in input, out output) []register {
	list := r.list()
	if in.command == "" {
		if out.version < r.seen[in.host] || int(out.version) > len(list)+1 {
			return nil
		}
		if out.version > 0 && out.commands != strings.Join(list[:out.version-1], " ") {
			return nil
		}
		r.seen[in.host] = out.version
		return []register{r}
	}
	position := slices.Index(list, string(in.command))
	accepted := r
	accepted.commands = strings.TrimSpace(r.commands + " " + string(in.command))
	switch {
	case out.unknown && position >= 0, out.refused:
		// A refused attempt had no effect; an earlier attempt of the same command
		// may have had one.
		return []register{r}
	case out.unknown:
		return []register{r, accepted}
	case position >= 0 && out.version == identity.Version(position+2):
		return []register{r}
	case position < 0 && out.version == identity.Version(len(list)+2):
		return []register{accepted}
	}
	return nil
}

// recorder records a history of operations.
type recorder struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

func (r *recorder) record(client int, in input, call int64, out output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	returned := r.clock.Add(1)
	if out.unknown {
		returned = 1 << 40 // The command may take effect at any later time.
	}
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: returned})
}

// reader returns the version and the commands that a read at a host yields.
type reader func(h *host) (identity.Version, []journal.Entry)

func hostState(h *host) (identity.Version, []journal.Entry) {
	entries := h.journal.Entries()
	if len(entries) == 0 {
		return min(h.version(), 1), nil
	}
	return entries[len(entries)-1].Version, entries
}

// freshState reads through a new journal, which adopts any version that the
// service returns.
func freshState(h *host) (identity.Version, []journal.Entry) {
	fresh := journal.New(h.kv)
	fresh.Log = slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = fresh.Run(ctx)
	return hostState(&host{journal: fresh})
}

func (r *recorder) read(client, hostIndex int, h *host, read reader) {
	call := r.clock.Add(1)
	version, entries := read(h)
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = string(e.Command)
	}
	r.record(client, input{host: hostIndex}, call, output{version: version, commands: strings.Join(names, " ")})
}

// command proposes one command and records its outcome, which is unknown if the
// proposal times out.
func (r *recorder) command(client int, h *host, p journal.Proposal, random *rand.Rand) {
	call := r.clock.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(20))*time.Second)
	defer cancel()
	c, err := h.journal.Propose(ctx, p)
	out := output{version: c.Version, refused: err != nil, unknown: errors.Is(err, journal.ErrOutcomeUnknown)}
	out.refused = out.refused && !out.unknown
	r.record(client, input{command: p.Command}, call, out)
}

// staleReads makes reads of the head return an old value while stale is set, like
// reads from a lagging replica.
func staleReads(kv keyvalue.Client, stale *atomic.Bool) keyvalue.Client {
	var mu sync.Mutex
	var cached keyvalue.Value
	get, watch := kv.Get, kv.Watch
	replaceHead := func(key string, value keyvalue.Value, err error) (keyvalue.Value, error) {
		mu.Lock()
		defer mu.Unlock()
		if key != journal.HeadKey || err != nil || value.Revision == 0 {
			return value, err
		}
		if stale.Load() && cached.Revision != 0 {
			return cached, nil
		}
		cached = value
		return value, nil
	}
	kv.Get = func(ctx context.Context, key string) (keyvalue.Value, error) {
		value, err := get(ctx, key)
		return replaceHead(key, value, err)
	}
	kv.Watch = func(ctx context.Context, key string, after keyvalue.Revision, wait time.Duration) (keyvalue.Value, error) {
		value, err := watch(ctx, key, after, wait)
		return replaceHead(key, value, err)
	}
	return kv
}

// injectFaults injects one random fault after the other until ctx ends.
func injectFaults(ctx context.Context, d *deployment, stale *atomic.Bool, r *rand.Rand) {
	for ctx.Err() == nil {
		d.service.SetFaults(standin.Faults{})
		d.network.SetRule(nil)
		stale.Store(false)
		switch r.IntN(7) {
		case 0, 1:
			d.service.SetFaults(standin.Faults{LoseAnswerEvery: 1 + r.IntN(3)})
		case 2:
			d.service.SetFaults(standin.Faults{Down: true})
		case 3:
			d.service.SetFaults(standin.Faults{LateMillis: int64(r.IntN(5000))})
		case 4:
			zone := byte(r.IntN(testZones))
			in := func(a netip.Addr) bool { return a.As4()[1] == 0 && a.As4()[2] == zone }
			d.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: in(from) != in(to)} })
		case 5:
			stale.Store(true)
		}
		select {
		case <-time.After(time.Duration(1+r.IntN(12)) * time.Second):
		case <-ctx.Done():
		}
	}
	d.service.SetFaults(standin.Faults{})
	d.network.SetRule(nil)
	stale.Store(false)
}

// simulate runs one seed. It reports whether the history fits the model, and the
// number of accepted commands. Each command is sent once or twice, each time
// through a random host.
func simulate(t *testing.T, seed uint64, wrap func(keyvalue.Client) keyvalue.Client, read reader) (bool, int) {
	rec := &recorder{}
	synctest.Test(t, func(t *testing.T) {
		var stale atomic.Bool
		d := newDeployment(func(kv keyvalue.Client) keyvalue.Client { return wrap(staleReads(kv, &stale)) })
		defer d.stop()
		d.hosts[0].bootstrap(t.Context())
		ctx, cancel := context.WithTimeout(t.Context(), runFor)
		defer cancel()
		var group errgroup.Group
		for o := range operators {
			r := rand.New(rand.NewPCG(seed, uint64(o)))
			group.Go(func() error {
				for n := 0; ctx.Err() == nil; n++ {
					p := proposal(o*1000 + n)
					for range 1 + r.IntN(2) {
						rec.command(o, d.hosts[r.IntN(len(d.hosts))], p, r)
					}
					time.Sleep(time.Duration(1+r.IntN(8)) * time.Second)
				}
				return nil
			})
		}
		for i, h := range d.hosts {
			group.Go(func() error {
				for ctx.Err() == nil {
					time.Sleep(2 * time.Second)
					rec.read(operators+i, i, h, read)
				}
				return nil
			})
		}
		injectFaults(ctx, d, &stale, rand.New(rand.NewPCG(seed, 99)))
		qt.Check(t, group.Wait(), qt.IsNil)
		time.Sleep(20 * time.Second)
		for i, h := range d.hosts {
			rec.read(operators+i, i, h, hostState)
		}
	})
	accepted := 0
	for _, op := range rec.ops {
		if in := op.Input.(input); in.command != "" && op.Output.(output).version > 0 {
			accepted++
		}
	}
	result := porcupine.CheckOperationsTimeout(configurationModel, rec.ops, 20*time.Second)
	qt.Check(t, result, qt.Not(qt.Equals), porcupine.Unknown)
	return result == porcupine.Ok, accepted
}

func unmodified(kv keyvalue.Client) keyvalue.Client { return kv }

func TestHistoryOfConfiguration(t *testing.T) {
	for seed := range uint64(seeds) {
		ok, accepted := simulate(t, seed, unmodified, hostState)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("seed %d", seed))
		qt.Check(t, accepted > 10, qt.IsTrue, qt.Commentf("seed %d: %d accepted", seed, accepted))
	}
}

func TestHistoryCatchesBrokenConfigurations(t *testing.T) {
	ambiguousAsFailed := func(kv keyvalue.Client) keyvalue.Client {
		put := kv.Put
		kv.Put = func(ctx context.Context, key string, p keyvalue.Put) (keyvalue.Value, error) {
			value, err := put(ctx, key, p)
			if errors.Is(err, keyvalue.ErrAmbiguous) {
				err = fmt.Errorf("%w: ambiguous write treated as failed", keyvalue.ErrUnavailable)
			}
			return value, err
		}
		return kv
	}
	for _, broken := range []struct {
		name string
		wrap func(keyvalue.Client) keyvalue.Client
		read reader
	}{
		{name: "a lost response is treated as a failure", wrap: ambiguousAsFailed, read: hostState},
		{name: "any version is adopted", wrap: unmodified, read: freshState},
	} {
		t.Run(broken.name, func(t *testing.T) {
			caught := false
			for seed := uint64(0); seed < seeds && !caught; seed++ {
				ok, _ := simulate(t, seed, broken.wrap, broken.read)
				caught = !ok
			}
			qt.Assert(t, caught, qt.IsTrue)
		})
	}
}
