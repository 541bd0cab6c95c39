package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

func (r *record) logf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
