package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	uploads = 10
	// uploadTime is how long a client sends the body of a request.
	uploadTime = 5500 * time.Millisecond
	chunkPause = 250 * time.Millisecond
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
	// excusedTime is how long after SIGTERM a request may be sent that may be cut.
	excusedTime = 3 * time.Second
)

// upload is one request whose body takes seconds to send.
type upload struct {
	id       string
	lastByte time.Time
	outcome  string
	complete bool
	refused  bool
}

// playStop stops a host as planned while clients send it requests with long bodies.
func playStop(dir, recordPath string, trouble bool) (err error) {
	r, err := newRig(dir, recordPath, 2, map[string]string{"i-a": "v1", "i-b": "v1"})
	if r != nil {
		defer func() { err = errors.Join(err, r.stop()) }()
	}
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	var list []*upload
	for i := range uploads {
		r.playing.Add(1)
		r.run(func() error {
			defer r.playing.Done()
			u := &upload{id: fmt.Sprintf("u%d", i)}
			u.play(r)
			mu.Lock()
			defer mu.Unlock()
			list = append(list, u)
			return nil
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		r.record.logf("SIGTERM to %s", r.hosts[0].name)
		if err := r.hosts[0].signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-r.hosts[0].ended:
			r.record.logf("%s has ended", r.hosts[0].name)
		case <-time.After(graceTime):
			r.hosts[0].kill()
			r.record.logf("%s killed", r.hosts[0].name)
		}
	}
	r.playing.Wait()
	return judgeStop(r, list, stopped)
}

// judgeStop counts the requests that were sent after excusedTime, were passed on to a
// runner and got no complete answer.
func judgeStop(r *rig, list []*upload, stopped time.Time) error {
	complete, refused, lost := 0, 0, 0
	for _, u := range list {
		switch {
		case u.complete:
			complete++
		case u.refused:
			refused++
		case u.lastByte.Sub(stopped) > excusedTime && r.ran(u.id):
			lost++
			r.record.logf("request %s, sent whole %.1f s after SIGTERM, ran and was cut: %s", u.id, u.lastByte.Sub(stopped).Seconds(), u.outcome)
		}
	}
	r.writeSummary(map[string]any{"requests": len(list), "complete": complete, "refused": refused, "lost": lost})
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d of %d requests were cut by a planned stop", errBroken, lost, len(list))
	}
	return nil
}

// ran reports whether a runner has run a request.
func (r *rig) ran(id string) bool {
	for _, runner := range r.runners {
		runner.mu.Lock()
		found := runner.ran[id]
		runner.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}

// play sends the request to the first host and reads the answer.
func (u *upload) play(r *rig) {
	conn, err := net.Dial("tcp", r.hosts[0].address())
	if err != nil {
		u.outcome = err.Error()
		return
	}
	defer conn.Close()
	r.record.logf("client begins to send %s", u.id)
	if err := u.send(conn); err != nil {
		u.outcome = err.Error()
		r.record.logf("client can't send %s: %v", u.id, err)
		return
	}
	u.lastByte = time.Now()
	r.record.logf("client has sent all of %s", u.id)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		u.outcome = "no answer: " + err.Error()
		r.record.logf("client gets no answer to %s: %v", u.id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	u.refused = response.StatusCode == http.StatusServiceUnavailable
	u.complete = response.StatusCode == http.StatusOK && err == nil
	u.outcome = fmt.Sprintf("status %d, %d bytes, %v", response.StatusCode, len(body), err)
	r.record.logf("client gets to %s: %s", u.id, u.outcome)
}

// send sends a request in chunks over uploadTime.
func (u *upload) send(conn net.Conn) error {
	_, err := fmt.Fprintf(conn, "POST /st/%s HTTP/1.1\r\nHost: h.example\r\nX-Dandelionlift-Request-Id: %s\r\nX-Dandelionlift-Request-Deadline: 15000\r\n"+
		"Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n\r\n", u.id, u.id)
	for end := time.Now().Add(uploadTime); err == nil && time.Now().Before(end); time.Sleep(chunkPause) {
		_, err = fmt.Fprintf(conn, "5\r\npart \r\n")
	}
	if err == nil {
		_, err = fmt.Fprint(conn, "0\r\n\r\n")
	}
	return err
}
