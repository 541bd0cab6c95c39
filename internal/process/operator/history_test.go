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
	operatorCount       = 5
	commandsPerOperator = 8
	fieldCount          = 3
	seedCount           = 10
	storeOutage         = 20 * time.Second
)

// setCommand is a command that sets a field through a host at seenVersion.
type setCommand struct {
	id identity.Command
	// number makes the command's value unique.
	number      int
	field       int
	seenVersion identity.Version
	// ifVersion is the version after "if version", which may be newer than
	// seenVersion; zero for a command without it.
	ifVersion identity.Version
}

// modelState holds the version in force, the version in which each field was last
// changed, and the version in which each command was accepted.
type modelState struct {
	version  identity.Version
	changed  [fieldCount]identity.Version
	accepted map[identity.Command]identity.Version
}

// commandModel accepts each id once, and the first of two conflicting commands.
var commandModel = porcupine.Model{
	Init: func() any { return modelState{version: 1} },
	Step: func(state, input, output any) (bool, any) {
		s, in, version := state.(modelState), input.(setCommand), output.(identity.Version)
		if first, ok := s.accepted[in.id]; ok {
			return version == first, s
		}
		conflict := s.changed[in.field] > in.seenVersion
		if in.ifVersion != 0 {
			conflict = s.version != in.ifVersion
		}
		if conflict {
			return version == 0, s
		}
		next := modelState{version: s.version + 1, changed: s.changed, accepted: maps.Clone(s.accepted)}
		if next.accepted == nil {
			next.accepted = make(map[identity.Command]identity.Version)
		}
		next.changed[in.field] = next.version
		next.accepted[in.id] = next.version
		return version == next.version, next
	},
	Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
}

// simulation runs several entry hosts against one faulty key-value service.
type simulation struct {
	clock  atomic.Int64
	mu     sync.Mutex
	newest configuration.Configuration
	ops    []porcupine.Operation
	sent   []setCommand
	// failures counts wrong conflicts and commands whose outcome stayed unknown. A
	// conflict is wrong if it lacks the operator, time or line, or if the sender
	// had already seen its version.
	failures int
}

func (s *simulation) recordConfiguration(c configuration.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version > s.newest.Version {
		s.newest = c
	}
}

// nextCommand returns a new command, or repeats an earlier one and returns true.
func (s *simulation) nextCommand(random *rand.Rand, by int, number int, seenVersion identity.Version) (setCommand, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sent) > 0 && random.IntN(4) == 0 {
		return s.sent[random.IntN(len(s.sent))], true
	}
	c := setCommand{
		id: identity.Command(fmt.Sprintf("c-%d-%d", by, number)), number: by*commandsPerOperator + number,
		field: random.IntN(fieldCount), seenVersion: seenVersion,
	}
	if random.IntN(3) == 0 {
		c.ifVersion = max(s.newest.Version, initialConfiguration.Version)
	}
	s.sent = append(s.sent, c)
	return c, false
}

func (s *simulation) recordAnswer(client int, in setCommand, call int64, answer operator.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ops = append(s.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: answer.Version, Return: s.clock.Add(1)})
	conflict := answer.Conflict
	if conflict != nil && (conflict.Operator == "" || conflict.Line == "" || conflict.At.IsZero() || conflict.Version <= min(in.seenVersion, cmp.Or(in.ifVersion, in.seenVersion))) {
		s.failures++
	}
}

// line formats the command; no two commands set a field to the same value.
func (c setCommand) line() string {
	fields := [fieldCount]string{"service drafts model_version", "service drafts adapter", "organisation sheds weight"}
	value := "v" + string(c.id)
	if c.field == 2 {
		value = fmt.Sprint(2 + c.number)
	}
	line := fmt.Sprintf("set %s = %s", fields[c.field], value)
	if c.ifVersion != 0 {
		line += fmt.Sprintf(" if version %d", c.ifVersion)
	}
	return line
}

// maxRepeats bounds the repeats of a command, one a second, while its outcome is
// unknown. It is far above storeOutage.
const maxRepeats = 300

// countFailure counts a command whose outcome stayed unknown.
func (s *simulation) countFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
}

// runOperator sends commands through one host until each has a known outcome.
func (s *simulation) runOperator(h *host, by int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(by)))
	for number := range commandsPerOperator {
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
		if random.IntN(2) == 0 {
			s.mu.Lock()
			newest := s.newest
			s.mu.Unlock()
			h.adopt(context.Background(), newest)
		}
		in, repeat := s.nextCommand(random, by, number, h.current().Configuration.Version)
		if repeat {
			// A repeat of a command that was not accepted is judged by the
			// version that this host has seen.
			in.seenVersion = h.current().Configuration.Version
		}
		call := s.clock.Add(1)
		answer := h.execute(in.id, fmt.Sprint("operator-", by), in.line())
		for repeats := 0; answer.OutcomeUnknown; repeats++ {
			if repeats == maxRepeats {
				s.countFailure()
				return
			}
			time.Sleep(time.Second)
			answer = h.execute(in.id, fmt.Sprint("operator-", by), in.line())
		}
		s.recordAnswer(by, in, call, answer)
	}
}

var storeAddress = netip.MustParseAddrPort("10.9.0.1:7001")

// simulate runs the operators with one seed and returns the simulation. It calls
// inject for each host, to add a fault, once with the key-value client and once
// with the Interpreter; the other argument is nil.
func simulate(t *testing.T, seed uint64, inject func(*operator.Interpreter, *keyvalue.Client)) *simulation {
	s := &simulation{}
	synctest.Test(t, func(t *testing.T) {
		n, store := network.New(), standin.New()
		server := &http.Server{Handler: store.Handler()}
		var group, workers errgroup.Group
		l := n.Listen(storeAddress)
		group.Go(func() error { return server.Serve(l) })
		var transports []*http.Transport
		connect := func(address netip.Addr) keyvalue.Client {
			transport := &http.Transport{DialContext: n.Dial(address)}
			transports = append(transports, transport)
			return keyvalue.HTTP(storeAddress, transport)
		}
		bootstrapped(t, connect(netip.MustParseAddr("10.0.0.99")))
		store.SetFaults(standin.Faults{LoseAnswerEvery: 3, DelayMillis: 5})
		group.Go(func() error {
			time.Sleep(100 * time.Millisecond)
			store.SetFaults(standin.Faults{Down: true})
			time.Sleep(storeOutage)
			store.SetFaults(standin.Faults{LoseAnswerEvery: 2, DelayMillis: 20})
			return nil
		})
		for by := range operatorCount {
			kv := connect(netip.AddrFrom4([4]byte{10, 0, 0, byte(by + 1)}))
			inject(nil, &kv)
			h := newHost(kv)
			propose := h.Propose
			h.Propose = func(ctx context.Context, p journal.Proposal) (configuration.Configuration, error) {
				c, err := propose(ctx, p)
				if err == nil {
					s.recordConfiguration(h.current().Configuration)
				}
				return c, err
			}
			inject(&h.Interpreter, nil)
			workers.Go(func() error { s.runOperator(h, by, seed); return nil })
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

func noFault(*operator.Interpreter, *keyvalue.Client) {}

func TestConcurrentCommandsApplyOnceAndInOrder(t *testing.T) {
	for seed := range uint64(seedCount) {
		s := simulate(t, seed, noFault)
		accepted, refused := 0, 0
		for _, op := range s.ops {
			if op.Output.(identity.Version) > 0 {
				accepted++
			} else {
				refused++
			}
		}
		quicktest.Check(t, accepted > 5 && refused > 5, quicktest.IsTrue, quicktest.Commentf("seed %d: %d accepted, %d refused", seed, accepted, refused))
		quicktest.Check(t, s.failures, quicktest.Equals, 0)
		quicktest.Check(t, porcupine.CheckOperations(commandModel, s.ops), quicktest.IsTrue, quicktest.Commentf("seed %d", seed))
	}
}

func TestCommandModelDetectsFaults(t *testing.T) {
	for name, inject := range map[string]func(*operator.Interpreter, *keyvalue.Client){
		"a repeat gets a new command id": func(in *operator.Interpreter, _ *keyvalue.Client) {
			if in == nil {
				return
			}
			propose := in.Propose
			in.Propose = func(ctx context.Context, p journal.Proposal) (configuration.Configuration, error) {
				p.Command = identity.NewCommand()
				return propose(ctx, p)
			}
		},
		"the required version is ignored": func(in *operator.Interpreter, _ *keyvalue.Client) {
			if in == nil {
				return
			}
			propose := in.Propose
			in.Propose = func(ctx context.Context, p journal.Proposal) (configuration.Configuration, error) {
				p.IfVersion = 0
				return propose(ctx, p)
			}
		},
		"the last write wins": func(_ *operator.Interpreter, kv *keyvalue.Client) {
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
			detected := false
			for seed := uint64(0); seed < seedCount && !detected; seed++ {
				s := simulate(t, seed, inject)
				detected = s.failures > 0 || !porcupine.CheckOperations(commandModel, s.ops)
			}
			quicktest.Assert(t, detected, quicktest.IsTrue)
		})
	}
}
