package server

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// LossReasons lists every LossReason.
var LossReasons = []LossReason{CallerLeft, Unfinished, Abandoned, Cut}

// Loss describes a connection that ended with a request on it, or a part of one, that
// got no answer or only a part of it.
type Loss struct {
	Caller net.Addr
	Reason LossReason
	// Read and Written count the bytes of the request, and of what may follow it, and
	// those of the answer.
	Read, Written int
	// After is the time since the first byte of the request was read.
	After time.Duration
	// Stopping is set if the server was stopping.
	Stopping bool
}

// LossReason states which side ended a connection, and when.
type LossReason string

// The reasons for losses.
const (
	// CallerLeft means that the caller closed or reset the connection.
	CallerLeft LossReason = "caller_left"
	// Unfinished means that the rest of the request did not arrive in time.
	Unfinished LossReason = "unfinished"
	// Abandoned means that the handler ended without a complete answer.
	Abandoned LossReason = "abandoned"
	// Cut means that the server closed the connection at the end of its stop.
	Cut LossReason = "cut"
)

// progress is how far the request on a busy connection has come.
type progress int

const (
	// reading means that its handler has not begun.
	reading progress = iota
	handling
	handled
)

func (c *connection) setProgress(p progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = p
}

// countRead counts what was read and keeps the error that ends reading. A deadline that
// passes before or after a request was read only wakes the reader.
func (c *connection) countRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += n
	if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || c.phase == busy && c.progress == reading) {
		c.readError = err
	}
}

// Write counts the bytes of the answer.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	c.countWritten(int64(n), err)
	return n, err
}

// ReadFrom counts the bytes of the answer.
func (c *connection) ReadFrom(source io.Reader) (int64, error) {
	n, err := c.TCPConn.ReadFrom(source)
	c.countWritten(n, err)
	return n, err
}

func (c *connection) countWritten(n int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int(n)
	if err != nil {
		c.writeError = err
	}
}

// report reports the connection's loss, unless its requests were answered or this was
// done before. An empty reason stands for the one that the connection's state tells.
func (c *connection) report(reason LossReason) {
	loss, lost := c.loss(reason)
	if lost {
		c.server.onLost(loss)
	}
}

func (c *connection) loss(reason LossReason) (Loss, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// net/http itself answers a request that it can't pass to the handler, also one whose
	// end is missing.
	answered := c.progress == handled && c.writeError == nil || c.progress == reading && c.written > 0 && c.readError == nil
	if c.phase != busy || answered || c.reported {
		return Loss{}, false
	}
	c.reported = true
	if reason == "" {
		reason = c.lossReason()
	}
	return Loss{
		Caller: c.RemoteAddr(), Reason: reason, Read: c.read, Written: c.written,
		After: time.Since(c.began), Stopping: c.server.stopping.Load(),
	}, true
}

func (c *connection) lossReason() LossReason {
	switch {
	case c.writeError != nil, errors.Is(c.readError, io.EOF), errors.Is(c.readError, syscall.ECONNRESET):
		return CallerLeft
	case c.progress == handling:
		return Abandoned
	default:
		return Unfinished
	}
}
