package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/claimer"
	"github.com/dandelionlift/dandelionlift/internal/process/entry"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/claim"
	standinkv "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const benchEndpoints = 400

// bench is one entry host with one endpoint server, on loopback.
type bench struct {
	group    errgroup.Group
	cancel   context.CancelFunc
	servers  []*http.Server
	endpoint netip.AddrPort
	host     netip.AddrPort
	client   *http.Client
}

func newBench(c *qt.C, handler http.Handler, gather time.Duration) *bench {
	b := &bench{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.endpoint = b.serve(c, handler)
	d := new(deployment)
	var endpoints []fleet.Endpoint
	for i := range benchEndpoints {
		// Each endpoint takes a limited number of requests. All have the address
		// of the one stand-in.
		host := identity.Host(fmt.Sprintf("e-%03d", i))
		endpoints = append(endpoints, fleet.Endpoint{Host: host, Incarnation: "i", Address: b.endpoint, Service: "model", Zone: "zone"})
	}
	d.publish(endpoints)
	entrySettings := settings.DefaultEntry()
	entrySettings.Limits.MaxRequests = 1 << 20
	entrySettings.Limits.AnswerRetention = 0
	entrySettings.Limits.MaxCoalesceDelay = configuration.Duration(gather)
	s := entry.New(ctx, &b.group, entrySettings, entry.WithSnapshot(d.snapshot.Load), entry.WithLog(slog.New(slog.DiscardHandler)))
	router := mux.NewRouter()
	s.Routes(router)
	b.host = b.serve(c, router)
	c.Cleanup(func() {
		cancel()
		b.client.CloseIdleConnections()
		s.Engine.HTTP.CloseIdleConnections()
		for _, server := range b.servers {
			server.Close()
		}
		_ = b.group.Wait()
	})
	return b
}

func (b *bench) serve(c *qt.C, handler http.Handler) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	b.servers = append(b.servers, server)
	b.group.Go(func() error { return server.Serve(listener) })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// streamingEngine answers each completion with the given number of tokens. It
// calls wait, if set, before each, and otherwise writes as fast as they are read.
func streamingEngine(tokens int, wait func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(engine.RequestHeader)
		flusher := http.NewResponseController(w)
		var line []byte
		for i := range tokens {
			if wait != nil {
				wait()
			}
			line = append(line[:0], `data: {"request":"`...)
			line = append(line, id...)
			line = append(line, `","incarnation":"i","offset":`...)
			line = strconv.AppendInt(line, int64(i), 10)
			line = append(line, `,"tokens":["token "]}`+"\n\n"...)
			if _, err := w.Write(line); err != nil {
				return
			}
			_ = flusher.Flush()
		}
		fmt.Fprintf(w, `data: {"request":%q,"incarnation":"i","offset":%d,"done":true,"usage":{"completion_tokens":%d}}`+"\n\n", id, tokens, tokens)
	})
}

// stream makes one streamed call and returns the time to its first event.
func (b *bench) stream(c *qt.C, to netip.AddrPort, tokens int) (firstEvent time.Duration) {
	requestBody := fmt.Sprintf(`{"model":"model","prompt":"p","max_tokens":%d,"stream":true}`, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+to.String()+"/v1/completions", bytes.NewReader([]byte(requestBody)))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set(engine.RequestHeader, "direct")
	began := time.Now()
	response, err := b.client.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	_, err = reader.Peek(1)
	c.Assert(err, qt.IsNil)
	firstEvent = time.Since(began)
	body, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Count(body, []byte("token ")) == tokens, qt.IsTrue, qt.Commentf("%.300s", body))
	return firstEvent
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func p95(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)*95/100]
}

// BenchmarkRequest alternates short calls to the endpoint and to the entry host.
// It reports the latency of the first token and the CPU time that the entry host
// adds.
func BenchmarkRequest(t *testing.B) {
	c := qt.New(t)
	b := newBench(c, streamingEngine(1, nil), 0)
	var direct, viaHost []time.Duration
	var directCPU, viaHostCPU time.Duration
	for t.Loop() {
		start := processCPUTime()
		direct = append(direct, b.stream(c, b.endpoint, 1))
		middle := processCPUTime()
		viaHost = append(viaHost, b.stream(c, b.host, 1))
		directCPU += middle - start
		viaHostCPU += processCPUTime() - middle
	}
	n := float64(len(direct))
	t.ReportMetric(float64((p95(viaHost) - p95(direct)).Microseconds()), "added-p95-us/first-token")
	t.ReportMetric(float64(viaHostCPU-directCPU)/n/1000, "added-cpu-us/request")
	t.ReportMetric(float64(viaHostCPU)/float64(directCPU), "cpu-ratio")
}

// BenchmarkStream reads 460 streams with a token every 20 ms, the target of 23,000
// tokens a second for one host, directly and through the entry host. It reports what
// the entry host adds per token.
func BenchmarkStream(t *testing.B) {
	for _, gather := range []time.Duration{0, 40 * time.Millisecond} {
		t.Run("gather="+gather.String(), func(t *testing.B) { benchmarkStream(t, gather) })
	}
}

func benchmarkStream(t *testing.B, gather time.Duration) {
	const tokens, streams = 100, 460
	c := qt.New(t)
	b := newBench(c, streamingEngine(tokens, func() { time.Sleep(20 * time.Millisecond) }), gather)
	run := func(to netip.AddrPort) (wall, used time.Duration, mallocs, allocated uint64) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began, cpuBefore := time.Now(), processCPUTime()
		var group errgroup.Group
		for range streams {
			group.Go(func() error {
				b.stream(c, to, tokens)
				return nil
			})
		}
		_ = group.Wait()
		wall, used = time.Since(began), processCPUTime()-cpuBefore
		runtime.ReadMemStats(&after)
		return wall, used, after.Mallocs - before.Mallocs, after.TotalAlloc - before.TotalAlloc
	}
	var wall, used time.Duration
	var mallocs, allocated, directUsed float64
	tokenCount := 0.0
	for t.Loop() {
		w1, u1, m1, a1 := run(b.endpoint)
		w2, u2, m2, a2 := run(b.host)
		wall += w2 - w1
		used += u2 - u1
		directUsed += float64(u1)
		mallocs += float64(m2) - float64(m1)
		allocated += float64(a2) - float64(a1)
		tokenCount += tokens * streams
	}
	t.ReportMetric(float64(wall.Microseconds())/(tokenCount/streams), "added-us/token")
	t.ReportMetric(float64(used.Nanoseconds())/tokenCount/1000, "added-cpu-us/token")
	t.ReportMetric((float64(used)+directUsed)/directUsed, "cpu-ratio")
	t.ReportMetric(mallocs/tokenCount, "added-allocs/token")
	t.ReportMetric(allocated/tokenCount, "added-bytes/token")
}

// BenchmarkStreamMemory opens many streams that stall after one token. It reports
// the memory per stream, including the caller's and the stand-in's.
func BenchmarkStreamMemory(t *testing.B) {
	for _, streams := range []int{10, 100, 1000, 4000} {
		t.Run(strconv.Itoa(streams), func(t *testing.B) {
			c := qt.New(t)
			for t.Loop() {
				t.ReportMetric(bytesPerStream(c, streams, false), "direct-bytes/stream")
				t.ReportMetric(bytesPerStream(c, streams, true), "through-bytes/stream")
			}
		})
	}
}

// bytesPerStream returns the heap and stack memory per open stream.
func bytesPerStream(c *qt.C, streams int, viaHost bool) float64 {
	release := make(chan struct{})
	b := newBench(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, `data: {"request":%q,"incarnation":"i","offset":0,"tokens":["token "]}`+"\n\n", r.Header.Get(engine.RequestHeader))
		_ = http.NewResponseController(w).Flush()
		<-release
	}), 0)
	to := b.endpoint
	if viaHost {
		to = b.host
	}
	before := heapAndStackBytes()
	var bodies []io.Closer
	for range streams {
		request, err := http.NewRequest(http.MethodPost, "http://"+to.String()+"/v1/completions",
			bytes.NewReader([]byte(`{"model":"model","prompt":"p","max_tokens":256,"stream":true}`)))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+callerKey)
		response, err := b.client.Do(request) //nolint:bodyclose // Closed below, when all are open.
		c.Assert(err, qt.IsNil)
		_, err = response.Body.Read(make([]byte, 16))
		c.Assert(err, qt.IsNil)
		bodies = append(bodies, response.Body)
	}
	perStream := float64(heapAndStackBytes()-before) / float64(streams)
	close(release)
	for _, body := range bodies {
		body.Close()
	}
	return perStream
}

func heapAndStackBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkClaim makes claims from 256 concurrent callers on one host and reports
// the number of claims per write.
func BenchmarkClaim(t *testing.B) {
	c := qt.New(t)
	service := standinkv.New()
	b := &bench{}
	address := b.serve(c, service.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{}
	hostClaimer := claimer.New(keyvalue.HTTP(address, transport))
	b.group.Go(func() error { return hostClaimer.Run(ctx) })
	var group errgroup.Group
	group.SetLimit(256)
	claimCount := 0
	for t.Loop() {
		claimCount++
		group.Go(func() error {
			return hostClaimer.Claim(ctx, claim.NewEntry(call.Call{Request: identity.NewRequest(), Organisation: "o", Method: http.MethodPost})).Err
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	t.ReportMetric(float64(claimCount)/float64(service.Counts().Writes), "claims/write")
	cancel()
	transport.CloseIdleConnections()
	b.servers[0].Close()
	_ = b.group.Wait()
}
