package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is one stream of a client over all its tries.
type stream struct {
	name string
	// events holds the software version of each event in the order of arrival.
	events   []string
	versions map[string]bool
	// first is the request that brought the first event.
	first    string
	complete bool
	// fault says what is wrong with the order of events, or is empty.
	fault string
	// tries counts the client's attempts, takeUps holds those that took the stream up again.
	tries   int
	takeUps []takeUp
	started time.Time
}

// takeUp is an attempt that takes a stream up again. It went on if it brought a further
// event or the stream's end.
type takeUp struct {
	at     time.Time
	wentOn bool
}

const (
	streamDeadline = 15 * time.Second
	clientTries    = 4
	// retryPause is how long a client waits before it tries again.
	retryPause = 100 * time.Millisecond
)

// client sends streams to hosts in turn.
type client struct {
	record *record
	hosts  func() []string

	mu      sync.Mutex
	next    int
	streams []*stream
}

func (c *client) host() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := c.hosts()
	c.next++
	return hosts[c.next%len(hosts)]
}

// play sends one stream and takes it up again until it is complete.
func (c *client) play(name string) {
	s := &stream{name: name, versions: make(map[string]bool), started: time.Now()}
	c.mu.Lock()
	c.streams = append(c.streams, s)
	c.mu.Unlock()
	for s.tries < clientTries && !s.complete && time.Since(s.started) < streamDeadline {
		if s.tries > 0 {
			time.Sleep(retryPause)
		}
		wait := c.try(s)
		if wait > 0 {
			time.Sleep(min(wait, (streamDeadline-time.Since(s.started))/3))
		}
	}
}

// try makes one attempt and returns what Retry-After names.
func (c *client) try(s *stream) time.Duration {
	s.tries++
	id := fmt.Sprintf("%s-%d", s.name, s.tries)
	host := c.host()
	left := streamDeadline - time.Since(s.started)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/st/"+s.name, strings.NewReader("question"))
	if err != nil {
		panic(err)
	}
	request.Host = "h.example"
	request.Header.Set("X-Dandelionlift-Request-Id", id)
	request.Header.Set("X-Dandelionlift-Request-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token key-1")
	resumes := len(s.events) > 0
	if resumes {
		s.takeUps = append(s.takeUps, takeUp{at: time.Now()})
		request.Header.Set("Last-Event-Id", strconv.Itoa(len(s.events)-1))
		request.Header.Set("Resumes", s.first)
	}
	c.record.logf("client sends %s to %s, has %d events, resumes %q", id, host, len(s.events), s.first)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.record.logf("client gets no answer to %s: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.record.logf("client gets %d to %s, Retry-After %q", response.StatusCode, id, response.Header.Get("Retry-After"))
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil {
			return 0
		}
		return time.Duration(seconds * float64(time.Second))
	}
	before := len(s.events)
	err = s.read(response.Body, id)
	if resumes && (len(s.events) > before || err == nil) {
		s.takeUps[len(s.takeUps)-1].wentOn = true
	}
	c.record.logf("client has %d events after %s, complete %v, versions %v, end %v", len(s.events), id, s.complete, s.versions, err)
	return 0
}

// read reads events until the stream ends.
func (s *stream) read(body io.Reader, id string) error {
	reader := bufio.NewReader(body)
	number := -1
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			if len(s.events) == streamEvents {
				s.complete = true
			} else {
				s.fault = fmt.Sprintf("%s ends as complete after %d events", id, len(s.events))
			}
			return nil
		}
		if err != nil {
			return err
		}
		if text, found := strings.CutPrefix(line, "id: "); found {
			number, err = strconv.Atoi(strings.TrimSpace(text))
			if err != nil {
				s.fault = fmt.Sprintf("%s brings a malformed event", id)
			}
		}
		text, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		version, _, _ := strings.Cut(text, " ")
		if number != len(s.events) {
			s.fault = fmt.Sprintf("%s brings event %d after %d events", id, number, len(s.events))
		}
		if len(s.events) == 0 {
			s.first = id
		}
		s.events = append(s.events, version)
		s.versions[version] = true
	}
}

// takenUp reports whether a client has taken the stream up since a time, and whether it
// went on then.
func (s *stream) takenUp(since time.Time) (taken, wentOn bool) {
	for _, t := range s.takeUps {
		if t.at.After(since) {
			taken, wentOn = true, wentOn || t.wentOn
		}
	}
	return taken, wentOn
}

// mixed returns the streams that hold events of two versions.
func (c *client) mixed() []*stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*stream
	for _, s := range c.streams {
		if len(s.versions) > 1 {
			list = append(list, s)
		}
	}
	return list
}

// readTimeout is how long a client waits for a read.
const readTimeout = 800 * time.Millisecond

// get sends one read on a route and reports whether it was served.
func (c *client) get(route, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.host()+"/"+route+"/x", http.NoBody)
	if err != nil {
		panic(err)
	}
	request.Host = "h.example"
	request.Header.Set("X-Dandelionlift-Request-Id", id)
	request.Header.Set("X-Dandelionlift-Request-Deadline", strconv.FormatInt(readTimeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token key-1")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		c.record.logf("client gets no answer to %s on %s: %v", id, route, err)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.record.logf("client gets %d to %s on %s: %q %v", response.StatusCode, id, route, body, err)
	return response.StatusCode == http.StatusOK && err == nil
}
