package operator_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	standin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	operators       = 5
	commandsOfEach  = 8
	fieldsAtOdds    = 3
	seeds           = 10
	outageOfService = 20 * time.Second
)

// setting is one command: a field set through a host that had seen a version.
type setting struct {
	id identity.Command
	// number tells the command's value from all others.
	number int
	field  int
	seen   identity.Version
	// demand is the version after "if version", which another host may have
	// shown; zero for a command without.
	demand identity.Version
}

// declared is the state that commands are checked against.
type declared struct {
	version  identity.Version
	changed  [fieldsAtOdds]identity.Version
	accepted map[identity.Command]identity.Version
}

// commands accepts each id once, and of two commands at odds the first.
var commands = porcupine.Model{
	Init: func() any { return declared{version: 1} },
	Step: func(state, input, output any) (bool, any) {
		s, in, version := state.(declared), input.(setting), output.(identity.Version)
		if first, ok := s.accepted[in.id]; ok {
			return version == first, s
		}
		atOdds := s.changed[in.field] > in.seen
		if in.demand != 0 {
			atOdds = s.version != in.demand
		}
		if atOdds {
			return version == 0, s
		}
		next := declared{version: s.version + 1, changed: s.changed, accepted: maps.Clone(s.accepted)}
		if next.accepted == nil {
			next.accepted = make(map[identity.Command]identity.Version)
		}
		next.changed[in.field] = next.version
		next.accepted[in.id] = next.version
		return version == next.version, next
	},
	Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
}

// scene is several entry hosts over one key-value service that misbehaves.
type scene struct {
	clock  atomic.Int64
	mu     sync.Mutex
	newest configuration.Configuration
	ops    []porcupine.Operation
	sent   []setting
	// unexplained counts conflicts that don't tell who, when and what.
	unexplained int
}

func (s *scene) adopted(c configuration.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version > s.newest.Version {
		s.newest = c
	}
}

// pick gives a new command, or one that was sent already, for it to be repeated.
func (s *scene) pick(random *rand.Rand, by int, number int, seen identity.Version) (setting, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sent) > 0 && random.IntN(4) == 0 {
		return s.sent[random.IntN(len(s.sent))], true
	}
	c := setting{
		id: identity.Command(fmt.Sprintf("c-%d-%d", by, number)), number: by*commandsOfEach + number,
		field: random.IntN(fieldsAtOdds), seen: seen,
	}
	if random.IntN(3) == 0 {
		c.demand = max(s.newest.Version, start.Version)
	}
	s.sent = append(s.sent, c)
	return c, false
}

func (s *scene) done(client int, in setting, call int64, answer operator.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ops = append(s.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: answer.Version, Return: s.clock.Add(1)})
	first := answer.Conflict
	if first != nil && (first.Operator == "" || first.Line == "" || first.At.IsZero() || first.Version <= min(in.seen, cmp.Or(in.demand, in.seen))) {
		s.unexplained++
	}
}

// line writes a setting; no two commands give a field the same value.
func (c setting) line() string {
	fields := [fieldsAtOdds]string{"service drafts model_version", "service drafts adapter", "organisation sheds weight"}
	value := "v" + string(c.id)
	if c.field == 2 {
		value = fmt.Sprint(2 + c.number)
	}
	line := fmt.Sprintf("set %s = %s", fields[c.field], value)
	if c.demand != 0 {
		line += fmt.Sprintf(" if version %d", c.demand)
	}
	return line
}

// mostRepeats is after how many seconds a command without a known outcome is
// given up, well past the longest outage of a history.
const mostRepeats = 300

// unexplain counts an outcome that stayed unknown.
func (s *scene) unexplain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unexplained++
}

// work gives commands through one host until each has a known outcome.
func (s *scene) work(h *host, by int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(by)))
	for number := range commandsOfEach {
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
		if random.IntN(2) == 0 {
			s.mu.Lock()
			newest := s.newest
			s.mu.Unlock()
			h.adopt(context.Background(), newest)
		}
		in, repeat := s.pick(random, by, number, h.current().Configuration.Version)
		if repeat {
			// The host's own view counts for a command that was not accepted.
			in.seen = h.current().Configuration.Version
		}
		call := s.clock.Add(1)
		answer := h.ask(in.id, fmt.Sprint("operator-", by), in.line())
		for repeats := 0; answer.OutcomeUnknown; repeats++ {
			if repeats == mostRepeats {
				s.unexplain()
				return
			}
			time.Sleep(time.Second)
			answer = h.ask(in.id, fmt.Sprint("operator-", by), in.line())
		}
		s.done(by, in, call, answer)
	}
}

var service = netip.MustParseAddrPort("10.9.0.1:7001")

// play runs one seed and gives its history. spoil breaks a host's parts.
func play(t *testing.T, seed uint64, spoil func(*operator.Operator, *keyvalue.Client)) *scene {
	s := &scene{}
	synctest.Test(t, func(t *testing.T) {
		n, store := network.New(), standin.New()
		server := &http.Server{Handler: store.Handler()}
		var group, workers errgroup.Group
		l := n.Listen(service)
		group.Go(func() error { return server.Serve(l) })
		var transports []*http.Transport
		connect := func(address netip.Addr) keyvalue.Client {
			transport := &http.Transport{DialContext: n.Dial(address)}
			transports = append(transports, transport)
			return keyvalue.HTTP(service, transport)
		}
		bootstrapped(t, connect(netip.MustParseAddr("10.0.0.99")))
		store.SetFaults(standin.Faults{LoseAnswerEvery: 3, DelayMillis: 5})
		group.Go(func() error {
			time.Sleep(100 * time.Millisecond)
			store.SetFaults(standin.Faults{Down: true})
			time.Sleep(outageOfService)
			store.SetFaults(standin.Faults{LoseAnswerEvery: 2, DelayMillis: 20})
			return nil
		})
		for by := range operators {
			kv := connect(netip.AddrFrom4([4]byte{10, 0, 0, byte(by + 1)}))
			spoil(nil, &kv)
			h := newHost(kv)
			propose := h.Propose
			h.Propose = func(ctx context.Context, p journal.Proposal) (configuration.Configuration, error) {
				c, err := propose(ctx, p)
				if err == nil {
					s.adopted(h.current().Configuration)
				}
				return c, err
			}
			spoil(&h.Operator, nil)
			workers.Go(func() error { s.work(h, by, seed); return nil })
		}
		quicktest.Check(t, workers.Wait(), quicktest.IsNil)
		for _, transport := range transports {
			transport.CloseIdleConnections()
		}
		server.Close()
		quicktest.Check(t, group.Wait(), quicktest.ErrorIs, http.ErrServerClosed)
	})
	return s
}

func sound(*operator.Operator, *keyvalue.Client) {}

func TestHistoryOfCommandsIsOnceEachAndFirstWins(t *testing.T) {
	for seed := range uint64(seeds) {
		s := play(t, seed, sound)
		accepted, refused := 0, 0
		for _, op := range s.ops {
			if op.Output.(identity.Version) > 0 {
				accepted++
			} else {
				refused++
			}
		}
		quicktest.Check(t, accepted > 5 && refused > 5, quicktest.IsTrue, quicktest.Commentf("seed %d: %d accepted, %d refused", seed, accepted, refused))
		quicktest.Check(t, s.unexplained, quicktest.Equals, 0)
		quicktest.Check(t, porcupine.CheckOperations(commands, s.ops), quicktest.IsTrue, quicktest.Commentf("seed %d", seed))
	}
}

func TestHistoryCatchesBrokenOperators(t *testing.T) {
	for name, spoil := range map[string]func(*operator.Operator, *keyvalue.Client){
		"a repeat is a new command": func(o *operator.Operator, _ *keyvalue.Client) {
			if o == nil {
				return
			}
			propose := o.Propose
			o.Propose = func(ctx context.Context, p journal.Proposal) (configuration.Configuration, error) {
				p.Command = identity.NewCommand()
				return propose(ctx, p)
			}
		},
		"the version demanded is ignored": func(o *operator.Operator, _ *keyvalue.Client) {
			if o == nil {
				return
			}
			propose := o.Propose
			o.Propose = func(ctx context.Context, p journal.Proposal) (configuration.Configuration, error) {
				p.IfVersion = 0
				return propose(ctx, p)
			}
		},
		"the last write wins": func(_ *operator.Operator, kv *keyvalue.Client) {
			if kv == nil {
				return
			}
			put, get := kv.Put, kv.Get
			kv.Put = func(ctx context.Context, key string, p keyvalue.Put) (keyvalue.Value, error) {
				value, err := put(ctx, key, p)
				for errors.Is(err, keyvalue.ErrConflict) {
					present, failed := get(ctx, key)
					if failed != nil {
						return present, failed
					}
					p.IfRevision = present.Revision
					value, err = put(ctx, key, p)
				}
				return value, err
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			caught := false
			for seed := uint64(0); seed < seeds && !caught; seed++ {
				s := play(t, seed, spoil)
				caught = s.unexplained > 0 || !porcupine.CheckOperations(commands, s.ops)
			}
			quicktest.Assert(t, caught, quicktest.IsTrue)
		})
	}
}
