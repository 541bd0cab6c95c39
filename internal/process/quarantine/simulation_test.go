package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// step is the resolution of the simulated time.
	step = 10 * time.Millisecond
	// contact is how long after the last crash that is borne hosts may need to hear of each
	// other's crashes; afterwards maxLateSends more calls may be sent.
	contact      = 4 * time.Second
	maxLateSends = 3
	// reportInterval is the time between two reports of a host.
	reportInterval = 250 * time.Millisecond
	service        = "s"
	deadly         = quarantine.PartID(1 << 40)
	repeated       = quarantine.Fingerprint(1 << 40)
)

// day describes the load and the faults of a simulated day.
type day struct {
	name             string
	hosts, endpoints int
	// callsPerSecond is the rate of all calls, deadlyShare the share of them that has the
	// deadly part from second 4 to 24.
	callsPerSecond, deadlyShare float64
	// position is the place of the deadly part among those that are not the last.
	position int
	// crashesPerSecond is the rate at which endpoints crash without a cause in a call,
	// brokenCalls the share of calls that is broken off by an endpoint that goes on.
	crashesPerSecond, brokenCalls float64
	// repeatsPerSecond is the rate at which one call that crashes endpoints is repeated from
	// second 4 to 24.
	repeatsPerSecond float64
	// massCrash is set if all endpoints crash at second 10 and are back 2 s later.
	massCrash bool
	// reportDelay is how long reports take.
	reportDelay time.Duration
	seeds       uint64
}

type simulation struct {
	day
	random    *rand.Rand
	now       time.Time
	start     time.Time
	hosts     []*quarantine.Quarantine
	endpoints []*simulatedEndpoint
	inFlight  []report
	zipf      *rand.Zipf

	crashes, lateSends, deadlySends int
	// lastBorne is the time of the last crash after which hosts have time to hear of it.
	lastBorne           time.Time
	sound, soundRefused int
	wrong               []string
}

type simulatedEndpoint struct {
	name     string
	lives    int
	downTill time.Time
	calls    []*simulatedCall
}

func (e *simulatedEndpoint) incarnation() identity.Incarnation {
	return identity.Incarnation(fmt.Sprintf("%s@%d", e.name, e.lives))
}

type simulatedCall struct {
	host         int
	parts        []quarantine.PartID
	fingerprint  quarantine.Fingerprint
	deadly       bool
	sent         time.Time
	begins, ends time.Time
	attempts     int
	breaksAt     time.Time
}

type report struct {
	due      time.Time
	from     int
	evidence quarantine.Evidence
}

func newSimulation(d day, seed uint64) *simulation {
	s := &simulation{day: d, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0)}
	s.now = s.start
	s.zipf = rand.NewZipf(s.random, 1.2, 2, 300)
	for range d.hosts {
		s.hosts = append(s.hosts, quarantine.New(quarantine.WithClock(func() time.Time { return s.now })))
	}
	for i := range d.endpoints {
		s.endpoints = append(s.endpoints, &simulatedEndpoint{name: fmt.Sprint("e", i)})
	}
	return s
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.start) }

func (s *simulation) happens(perSecond float64) bool {
	return s.random.Float64() < perSecond*step.Seconds()
}

func (s *simulation) run() {
	for s.elapsed() < 30*time.Second {
		s.now = s.now.Add(step)
		for calls := s.callsPerSecond * step.Seconds(); calls > 0; calls-- {
			if s.random.Float64() < calls {
				s.arrive()
			}
		}
		if s.happens(s.repeatsPerSecond) && s.elapsed() > 4*time.Second && s.elapsed() < 24*time.Second {
			s.send(&simulatedCall{host: s.random.IntN(len(s.hosts)), parts: []quarantine.PartID{1, 1<<20 + 7}, fingerprint: repeated, deadly: true})
		}
		if s.happens(s.crashesPerSecond) {
			s.crash(s.endpoints[s.random.IntN(len(s.endpoints))])
		}
		if s.massCrash && s.elapsed() == 10*time.Second {
			for _, e := range s.endpoints {
				s.crash(e)
			}
		}
		for _, e := range s.endpoints {
			s.advance(e)
		}
		s.exchange()
	}
}

// arrive sends a new call. Its prompt has a part of its kind, one of a subject, and its
// own, which is not recorded.
func (s *simulation) arrive() {
	kind := quarantine.PartID(1 + s.random.IntN(3))
	parts := []quarantine.PartID{kind, kind<<20 + quarantine.PartID(s.zipf.Uint64())}
	isDeadly := kind == 1 && s.elapsed() > 4*time.Second && s.elapsed() < 24*time.Second && s.random.Float64() < 3*s.deadlyShare
	if isDeadly {
		// As in the users' days, all of these calls are about the same subject.
		parts[1] = kind<<20 + 7
		parts = append(parts[:s.position:s.position], append([]quarantine.PartID{deadly}, parts[s.position:]...)...)
	}
	c := &simulatedCall{host: s.random.IntN(len(s.hosts)), parts: parts, fingerprint: quarantine.Fingerprint(s.random.Uint64()), deadly: isDeadly}
	if !c.deadly {
		s.sound++
	}
	s.send(c)
}

// send sends a call to a random endpoint that is up, unless its parts are quarantined.
func (s *simulation) send(c *simulatedCall) {
	_, stopped := s.hosts[c.host].Check(service, c.parts)
	_, callStopped := s.hosts[c.host].CheckCall(c.fingerprint)
	if stopped || callStopped {
		if !c.deadly {
			s.soundRefused++
		}
		return
	}
	var up []*simulatedEndpoint
	for _, e := range s.endpoints {
		if s.now.After(e.downTill) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[s.random.IntN(len(up))]
	c.attempts++
	c.sent = s.now
	c.begins = s.now.Add(time.Duration(50+s.random.IntN(400)) * time.Millisecond)
	c.ends = c.begins.Add(time.Duration(200+s.random.IntN(1500)) * time.Millisecond)
	c.breaksAt = time.Time{}
	if s.random.Float64() < s.brokenCalls {
		c.breaksAt = c.begins.Add(100 * time.Millisecond)
	}
	e.calls = append(e.calls, c)
	if c.deadly {
		s.deadlySends++
		if s.crashes >= s.borne() && s.now.Sub(s.lastBorne) > contact {
			s.lateSends++
		}
	}
}

func (s *simulation) attempt(e *simulatedEndpoint, c *simulatedCall) quarantine.Attempt {
	return quarantine.Attempt{Service: service, Endpoint: e.incarnation(), Call: c.fingerprint, Parts: c.parts, InProgress: s.now.Sub(c.sent)}
}

// advance ends the calls of an endpoint that are due.
func (s *simulation) advance(e *simulatedEndpoint) {
	calls := e.calls
	e.calls = nil
	for i, c := range calls {
		switch {
		case c.deadly && s.now.After(c.begins.Add(80*time.Millisecond)):
			e.calls = append(e.calls, calls[i:]...)
			s.crashes++
			if s.crashes == s.borne() {
				s.lastBorne = s.now
			}
			s.crash(e)
			return
		case !c.breaksAt.IsZero() && s.now.After(c.breaksAt):
			s.hosts[c.host].RecordCrash(s.attempt(e, c))
			s.retry(c)
		case s.now.After(c.ends):
			s.hosts[c.host].RecordAnswer(s.attempt(e, c))
		default:
			e.calls = append(e.calls, c)
		}
	}
}

// crash breaks off all calls of an endpoint.
func (s *simulation) crash(e *simulatedEndpoint) {
	if s.now.Before(e.downTill) {
		return
	}
	calls := e.calls
	e.calls = nil
	for _, c := range calls {
		s.hosts[c.host].RecordCrash(s.attempt(e, c))
	}
	e.lives++
	e.downTill = s.now.Add(2*time.Second + time.Duration(s.random.IntN(1500))*time.Millisecond)
	for _, c := range calls {
		s.retry(c)
	}
}

func (s *simulation) retry(c *simulatedCall) {
	if c.attempts < 2 {
		s.send(c)
	}
}

// exchange delivers reports that are due, sends new ones and lets the hosts decide.
func (s *simulation) exchange() {
	for len(s.inFlight) > 0 && !s.inFlight[0].due.After(s.now) {
		for i, h := range s.hosts {
			if i != s.inFlight[0].from {
				h.Merge(s.inFlight[0].evidence)
			}
		}
		s.inFlight = s.inFlight[1:]
	}
	for i, h := range s.hosts {
		if phase := s.elapsed() + time.Duration(i)*step; phase%reportInterval == 0 {
			s.inFlight = append(s.inFlight, report{s.now.Add(s.reportDelay), i, h.Evidence(false)})
		}
		if s.elapsed()%(200*time.Millisecond) == 0 {
			h.RecordPresent(s.present())
			for _, order := range h.Decide(map[identity.Service]int{service: len(s.endpoints)}, 2*(s.reportDelay+reportInterval)).Quarantined {
				s.check(order)
			}
		}
	}
}

// present returns the endpoints that are up.
func (s *simulation) present() map[identity.Incarnation]bool {
	up := make(map[identity.Incarnation]bool)
	for _, e := range s.endpoints {
		if s.now.After(e.downTill) {
			up[e.incarnation()] = true
		}
	}
	return up
}

// borne returns how many endpoints a part, or a call that is repeated, may crash.
func (s *simulation) borne() int {
	if s.repeatsPerSecond > 0 {
		return 3
	}
	return 5
}

// check records an order that would stop calls without the deadly part.
func (s *simulation) check(order quarantine.Order) {
	if order.Call != 0 {
		// soundRefused counts the sound calls that were stopped thereby.
		return
	}
	for _, part := range order.Parts {
		if part == deadly {
			return
		}
	}
	s.wrong = append(s.wrong, fmt.Sprint(s.elapsed(), " ", order))
}

var days = []day{
	{name: "small fleet", hosts: 7, endpoints: 12, callsPerSecond: 70, deadlyShare: 0.017, position: 2, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "small share", hosts: 7, endpoints: 12, callsPerSecond: 70, deadlyShare: 0.004, position: 2, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "first part", hosts: 7, endpoints: 12, callsPerSecond: 70, deadlyShare: 0.017, position: 0, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "large share", hosts: 7, endpoints: 12, callsPerSecond: 70, deadlyShare: 0.1, position: 2, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "other crashes", hosts: 7, endpoints: 12, callsPerSecond: 70, deadlyShare: 0.017, position: 2, crashesPerSecond: 0.5, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "broken calls", hosts: 7, endpoints: 12, callsPerSecond: 70, deadlyShare: 0.017, position: 2, brokenCalls: 0.03, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "mass crash", hosts: 7, endpoints: 12, callsPerSecond: 70, deadlyShare: 0.017, position: 1, massCrash: true, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "relayed reports", hosts: 16, endpoints: 60, callsPerSecond: 300, deadlyShare: 0.017, position: 2, reportDelay: 700 * time.Millisecond, seeds: 2},
	{name: "relayed reports, other crashes", hosts: 16, endpoints: 60, callsPerSecond: 300, deadlyShare: 0.006, position: 2, crashesPerSecond: 2, reportDelay: 700 * time.Millisecond, seeds: 2},
}

// A part that crashes endpoints must be stopped at all hosts in time, whatever else goes
// wrong, and sound calls must not be.
func TestGuiltyPartIsStoppedAndOthersAreNot(t *testing.T) {
	for _, d := range days {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range d.seeds {
				s := newSimulation(d, seed)
				s.run()
				t.Logf("seed %d: %d crashes, %d deadly calls sent, %d late, %d of %d sound calls refused", seed, s.crashes, s.deadlySends, s.lateSends, s.soundRefused, s.sound)
				c.Check(s.lateSends <= maxLateSends, qt.IsTrue, qt.Commentf("seed %d: %d late calls", seed, s.lateSends))
				c.Check(s.wrong, qt.HasLen, 0, qt.Commentf("seed %d", seed))
				c.Check(s.soundRefused, qt.Equals, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}

var callDays = []day{
	{name: "small fleet", hosts: 7, endpoints: 12, callsPerSecond: 70, repeatsPerSecond: 0.7, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "often", hosts: 7, endpoints: 12, callsPerSecond: 70, repeatsPerSecond: 5, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "few endpoints", hosts: 7, endpoints: 3, callsPerSecond: 40, repeatsPerSecond: 0.5, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "other crashes", hosts: 7, endpoints: 12, callsPerSecond: 70, repeatsPerSecond: 0.7, crashesPerSecond: 0.5, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "broken calls", hosts: 7, endpoints: 12, callsPerSecond: 70, repeatsPerSecond: 0.7, brokenCalls: 0.03, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "mass crash", hosts: 7, endpoints: 12, callsPerSecond: 70, repeatsPerSecond: 0.7, massCrash: true, reportDelay: 20 * time.Millisecond, seeds: 8},
	{name: "relayed reports", hosts: 16, endpoints: 60, callsPerSecond: 300, repeatsPerSecond: 1, reportDelay: 700 * time.Millisecond, seeds: 2},
}

// One call that crashes each endpoint is repeated at any host. It must be stopped in
// time, and sound calls that were in progress at the same crashes or share parts must not.
func TestRepeatedCallIsStopped(t *testing.T) {
	for _, d := range callDays {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range d.seeds {
				s := newSimulation(d, seed)
				s.run()
				t.Logf("seed %d: %d crashes, %d deadly calls sent, %d late, %d of %d sound calls refused", seed, s.crashes, s.deadlySends, s.lateSends, s.soundRefused, s.sound)
				c.Check(s.lateSends <= maxLateSends, qt.IsTrue, qt.Commentf("seed %d: %d late calls", seed, s.lateSends))
				c.Check(s.wrong, qt.HasLen, 0, qt.Commentf("seed %d", seed))
				c.Check(s.soundRefused, qt.Equals, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}

// Days of many crashes without a guilty part must quarantine nothing.
func TestCrashesWithoutGuiltyPartQuarantineNothing(t *testing.T) {
	for _, d := range days {
		d.deadlyShare = 0
		d.crashesPerSecond = max(d.crashesPerSecond, float64(d.endpoints)/15)
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range d.seeds {
				s := newSimulation(d, seed)
				s.run()
				c.Check(s.wrong, qt.HasLen, 0, qt.Commentf("seed %d", seed))
				c.Check(s.soundRefused, qt.Equals, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}
