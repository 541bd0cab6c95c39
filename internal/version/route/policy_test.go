package route_test

import (
	containers "container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// The simulated engine: a step prefills up to stepTokens prompt tokens and
// generates one token for each decoding request. An engine is billed while it has
// work and for idleRelease afterwards; then it would be released.
const (
	simulatedTime  = 180 * time.Second
	warmUp         = 30 * time.Second
	waveAt         = 60 * time.Second
	waveNotice     = 5 * time.Second
	waveReturn     = 120 * time.Second
	idleRelease    = 10 * time.Second
	prefillRate    = 8000
	stepTokens     = 256
	stepBase       = 20 * time.Millisecond
	stepPerRequest = time.Millisecond
	batchSize      = 24
	cacheBlocks    = 1875
	resyncEvery    = 10 * time.Second
	reportLag      = 300 * time.Millisecond
	pollEvery      = time.Second
	callerLatency  = 3 * time.Millisecond
	regionLatency  = 10 * time.Millisecond
	promptBytes    = 6
	frameBytes     = 200
	linkPerGB      = 20_000
)

// workload is a stream of conversations about documents.
type workload struct {
	name        string
	regions     []string
	endpoints   int
	hosts       int
	startsEvery time.Duration
	documents   int
	// blocks is the range of document lengths, turns that of conversations.
	blocks, turns [2]int
	output        int
	batchShare    float64
	service       configuration.Service
}

var workloads = []workload{
	{
		name: "perseid", regions: []string{"levant", "andes", "karoo"}, endpoints: 20, hosts: 8,
		startsEvery: 70 * time.Millisecond, documents: 2000, blocks: [2]int{8, 48}, turns: [2]int{1, 2}, output: 160, batchShare: 0.3,
		service: configuration.Service{ID: "model", CostWeight: 6e6, RecomputeWeight: 0.05},
	},
	{
		name: "holloway", regions: []string{"derby", "crewe", "leicester"}, endpoints: 10, hosts: 7,
		startsEvery: 900 * time.Millisecond, documents: 120, blocks: [2]int{60, 180}, turns: [2]int{2, 6}, output: 150,
		service: configuration.Service{ID: "model", CostWeight: 5e5, RecomputeWeight: 0.5},
	},
}

// sim is a discrete event simulation of entry hosts and engines.
type sim struct {
	work       workload
	fault      string
	random     *rand.Rand
	now        time.Duration
	queue      events
	engines    []*fakeEngine
	hosts      []*fakeHost
	config     configuration.Configuration
	seenBlocks map[engine.Block]bool
	policy     policy
	result     result
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (q events) Len() int      { return len(q) }
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q *events) Push(x any) { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (s *sim) schedule(t time.Duration, run func()) {
	s.result.scheduled++
	containers.Push(&s.queue, event{at: t, order: s.result.scheduled, run: run})
}

// request is one call. After a reclaim it continues with the tokens generated so
// far.
type request struct {
	id             identity.Request
	host           *fakeHost
	blocks         []engine.Block
	batch          bool
	arrived        time.Duration
	firstToken     time.Duration
	lastToken      time.Duration
	generated      int
	output         int
	pendingPrefill int
	prefilling     bool
	crossRegion    bool
	onDone         func()
}

func (r *request) prompt() int { return len(r.blocks)*int(engine.BlockTokens) + r.generated }

// send dispatches a request to the engine that the policy chooses, and chooses
// again if that engine is gone when the request arrives.
func (s *sim) send(r *request) {
	i := s.policy.choose(r.host, r)
	if i < 0 {
		s.schedule(s.now+100*time.Millisecond, func() { s.send(r) })
		return
	}
	e := s.engines[i]
	r.host.outstanding[i]++
	r.crossRegion = e.region != r.host.region
	delay := time.Duration(0)
	if r.crossRegion {
		delay = regionLatency
		s.result.crossBytes += float64(r.prompt()*promptBytes + (r.output-r.generated)*frameBytes)
	}
	s.schedule(s.now+delay, func() {
		if e.gone {
			r.host.outstanding[i]--
			s.send(r)
			return
		}
		e.waiting = append(e.waiting, r)
		if !e.stepping {
			s.step(e)
		}
	})
}

func (s *sim) finish(e *fakeEngine, r *request) {
	r.host.outstanding[s.engineIndex(e)]--
	if s.policy.finished != nil {
		s.policy.finished(r.host, r, s.engineIndex(e))
	}
	if r.arrived > warmUp {
		s.result.measure(r)
	}
	r.onDone()
}

func (s *sim) engineIndex(e *fakeEngine) int {
	i, _ := strconv.Atoi(string(e.endpoint.Host[1:]))
	return i
}

// reclaimWave reclaims a zone's reclaimable hosts after a notice and starts their
// replacements later.
func (s *sim) reclaimWave() {
	for _, e := range s.engines {
		if e.region != s.work.regions[0] || !e.endpoint.Reclaimable {
			continue
		}
		e.endpoint.Leaving = true
		s.schedule(waveAt+waveNotice, func() {
			e.gone, e.stepping = true, false
			lost := append(e.running, e.waiting...)
			e.reset()
			for _, r := range lost {
				r.host.outstanding[s.engineIndex(e)]--
				s.send(r)
			}
		})
		s.schedule(waveReturn, func() {
			e.gone, e.endpoint.Leaving = false, false
			e.endpoint.Incarnation += "-again"
			e.endpoint.FirstSeen = simTime(s.now)
			e.endpoint.Load, e.history = fleet.Load{}, nil
		})
	}
}

// startConversation starts one conversation and schedules the next. Each turn of a
// conversation extends its prompt.
func (s *sim) startConversation() {
	intervalFactor := 1 + 0.5*math.Sin(float64(s.now)/float64(20*time.Second))
	s.schedule(s.now+time.Duration(s.random.ExpFloat64()*float64(s.work.startsEvery)*intervalFactor), s.startConversation)
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	organisation := min(int(random.ExpFloat64()*1.2), 4)
	document := int(float64(s.work.documents) * math.Pow(random.Float64(), 2))
	documentRandom := rand.New(rand.NewPCG(uint64(document), uint64(organisation)))
	length := s.work.blocks[0] + documentRandom.IntN(s.work.blocks[1]-s.work.blocks[0]+1)
	var blocks []engine.Block
	for i := range length {
		if i < 8 {
			blocks = append(blocks, engine.Block(organisation*1000+i+1))
			continue
		}
		blocks = append(blocks, engine.Block(documentRandom.Uint64()))
	}
	turns := s.work.turns[0] + random.IntN(s.work.turns[1]-s.work.turns[0]+1)
	s.startTurn(random, blocks, turns, random.Float64() < s.work.batchShare)
}

func (s *sim) startTurn(random *rand.Rand, blocks []engine.Block, turnsLeft int, batch bool) {
	host := s.hosts[random.IntN(len(s.hosts))]
	for range 1 + random.IntN(6) {
		blocks = append(blocks, engine.Block(random.Uint64()))
	}
	r := &request{id: identity.Request(strconv.Itoa(s.result.scheduled)), host: host, blocks: blocks, batch: batch, arrived: s.now}
	r.output = s.work.output/2 + random.IntN(s.work.output)
	r.onDone = func() {
		if turnsLeft > 1 {
			pause := time.Duration((3 + random.ExpFloat64()*10) * float64(time.Second))
			s.schedule(s.now+pause, func() { s.startTurn(random, blocks[:len(blocks):len(blocks)], turnsLeft-1, batch) })
		}
	}
	s.schedule(s.now+callerLatency, func() { s.send(r) })
}

// result holds the measurements of a run after its warm-up.
type result struct {
	scheduled, requests, interactive, inTarget, tokens, recomputed int
	crossBytes                                                     float64
	firstTokenHistogram                                            [20_000]int
	tokenGapHistogram                                              [5_000]int
}

func (r *result) measure(done *request) {
	r.requests++
	r.tokens += done.output
	if done.batch {
		return
	}
	r.interactive++
	wait := done.firstToken - done.arrived
	gap := (done.lastToken - done.firstToken) / time.Duration(max(1, done.output-1))
	if wait <= 1300*time.Millisecond && gap <= 73*time.Millisecond {
		r.inTarget++
	}
	r.firstTokenHistogram[min(len(r.firstTokenHistogram)-1, int(wait/time.Millisecond))]++
}

func percentile(histogram []int, share float64) float64 {
	total, sum := 0, 0
	for _, n := range histogram {
		total += n
	}
	for i, n := range histogram {
		if sum += n; float64(sum) >= share*float64(total) {
			return float64(i)
		}
	}
	return 0
}

func seed() uint64 {
	n, err := strconv.ParseUint(os.Getenv("DANDELIONLIFT_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return n
}

// newSim returns a simulation of a workload's deployment.
func newSim(w workload, fault string, p func(*sim) policy) *sim {
	s := &sim{work: w, fault: fault, random: rand.New(rand.NewPCG(seed(), 7)), seenBlocks: make(map[engine.Block]bool)}
	w.service.FirstTokenTarget = configuration.Duration(1300 * time.Millisecond)
	w.service.TokenIntervalTarget = configuration.Duration(73 * time.Millisecond)
	s.config = configuration.Configuration{Version: 1, Services: []configuration.Service{w.service}}
	for i, region := range w.regions {
		zone, pricePercent := identity.Zone(region+"-a"), unit.Money(100+15*i)
		s.config.Zones = append(s.config.Zones, configuration.Zone{ID: zone, Region: identity.Region(region)})
		s.config.Prices = append(s.config.Prices,
			configuration.Price{Zone: zone, Class: "small", Reclaimable: 3_000 * pricePercent, OnDemand: 10_000 * pricePercent},
			configuration.Price{Zone: zone, Class: "large", Reclaimable: 5_500 * pricePercent, OnDemand: 19_000 * pricePercent})
		for _, other := range w.regions[:i] {
			s.config.Links = append(s.config.Links, configuration.Link{
				From: identity.Region(region), To: identity.Region(other), PricePerGigabyte: linkPerGB, OneWayLatency: configuration.Duration(regionLatency)})
		}
	}
	for i := range w.endpoints {
		e := &fakeEngine{region: w.regions[i%3]}
		e.endpoint = fleet.Endpoint{
			Host: identity.Host(fmt.Sprintf("e%02d", i)), Incarnation: identity.Incarnation(fmt.Sprintf("i%02d", i)), Service: "model",
			Zone: identity.Zone(e.region + "-a"), Class: []identity.Class{"small", "large"}[i%2], Reclaimable: i >= 3,
		}
		price, _ := s.config.Price(e.endpoint.Zone, e.endpoint.Class)
		e.hourlyPrice = float64(price.OnDemand)
		if e.endpoint.Reclaimable {
			e.hourlyPrice = float64(price.Reclaimable)
		}
		e.reset()
		s.engines = append(s.engines, e)
	}
	for i := range w.hosts {
		s.hosts = append(s.hosts, &fakeHost{
			index: i, region: w.regions[i%3], outstanding: make([]int, w.endpoints), lastSequence: make([]uint64, w.endpoints), nextResync: make([]time.Duration, w.endpoints),
			reports: make([]fleet.Load, w.endpoints), random: rand.New(rand.NewPCG(seed(), uint64(100+i))),
		})
	}
	s.policy = p(s)
	return s
}

// run simulates the workload and returns the cost in millionths of a coin per
// thousand generated tokens.
func (s *sim) run() (costPerKtok float64) {
	s.recordReports()
	for i, h := range s.hosts {
		s.refreshSnapshot(h)
		s.schedule(time.Duration(i)*pollEvery/time.Duration(len(s.hosts)), func() { s.poll(h) })
	}
	if s.fault == "reclaim_wave" {
		s.schedule(waveAt, s.reclaimWave)
		for _, t := range []time.Duration{waveAt + 500*time.Millisecond, waveAt + waveNotice} {
			for _, h := range s.hosts {
				s.schedule(t, func() { s.refreshSnapshot(h) })
			}
		}
	}
	s.startConversation()
	paidBefore := 0.0
	s.schedule(warmUp, func() { paidBefore, s.result.crossBytes = s.paid(), 0 })
	for len(s.queue) > 0 && s.queue[0].at < simulatedTime {
		next := containers.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	spent := s.paid() - paidBefore + s.result.crossBytes/1e9*linkPerGB
	return spent / (float64(s.result.tokens) / 1000)
}

func (s *sim) paid() float64 {
	sum := 0.0
	for _, e := range s.engines {
		sum += e.hourlyPrice * e.paid.Hours()
	}
	return sum
}

// outcome holds the figures that the targets are stated in: cost, recomputed tokens
// per request and the 95th percentiles of first token and token gap in
// milliseconds.
type outcome struct{ cost, recomputed, firstToken, tokenGap float64 }

func (s *sim) outcome() outcome {
	cost := s.run()
	r := &s.result
	return outcome{cost, float64(r.recomputed) / float64(r.requests), percentile(r.firstTokenHistogram[:], 0.95), percentile(r.tokenGapHistogram[:], 0.95)}
}

// meetsTarget reports whether o is within the latency target.
func (o outcome) meetsTarget() bool { return o.firstToken <= 1300 && o.tokenGap <= 73 }

func BenchmarkPolicy(b *testing.B) {
	for _, w := range workloads {
		for _, fault := range []string{"none", "reclaim_wave", "lagging_reports", "gaps"} {
			for _, p := range policies {
				b.Run(fmt.Sprintf("workload=%s/fault=%s/policy=%s", w.name, fault, p.name), func(b *testing.B) {
					for b.Loop() {
						s := newSim(w, fault, p.make)
						o, r := s.outcome(), &s.result
						b.ReportMetric(o.cost, "cost/ktok")
						b.ReportMetric(o.recomputed, "recomputed/req")
						b.ReportMetric(o.firstToken, "ttft_p95_ms")
						b.ReportMetric(o.tokenGap, "itl_p95_ms")
						b.ReportMetric(100*float64(r.inTarget)/float64(r.interactive), "in_target_%")
						b.ReportMetric(r.crossBytes/1e6, "cross_region_MB")
						b.ReportMetric(float64(r.requests), "requests")
					}
				})
			}
		}
	}
}
