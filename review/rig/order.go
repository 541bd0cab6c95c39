package main

import (
	"errors"
	"fmt"
	"time"
)

// maxMixed is how many streams may hold events of two versions.
const maxMixed = 2

// playOrder replaces half of the runners of a service while the store is down, one after the
// other. Each crashes and is back under its id and address with a newer software version.
func playOrder(dir, recordPath string, trouble bool) (err error) {
	r, err := newRig(dir, recordPath, 2, map[string]string{"i-a": "v1", "i-b": "v1", "i-c": "v1", "i-d": "v1"})
	if r != nil {
		defer func() { err = errors.Join(err, r.stop()) }()
	}
	if err != nil {
		return err
	}
	r.run(func() error {
		r.load("s", 30*time.Millisecond, 18*time.Second)
		return nil
	})
	time.Sleep(6 * time.Second)
	if trouble {
		if err := releaseDuringOutage(r); err != nil {
			return err
		}
	}
	time.Sleep(13 * time.Second)
	r.playing.Wait()
	mixed, complete := r.client.mixed(), 0
	for _, s := range r.client.streams {
		if s.complete {
			complete++
		}
	}
	for _, s := range mixed {
		r.record.logf("stream %s holds events of two versions: %s", s.name, changes(s.events))
	}
	r.writeSummary(map[string]any{"streams": len(r.client.streams), "complete": complete, "mixed": len(mixed), "allowed": maxMixed})
	if len(mixed) > maxMixed {
		return fmt.Errorf("%w: ORDER: %d streams hold events of two software versions", errBroken, len(mixed))
	}
	return nil
}

const (
	// outage is how long the store answers 503, crashTime how long a runner is gone.
	outage    = 4500 * time.Millisecond
	crashTime = 2 * time.Second
)

func releaseDuringOutage(r *rig) error {
	r.record.logf("store down")
	r.store.setDown(true)
	r.run(func() error {
		time.Sleep(outage)
		r.store.setDown(false)
		r.record.logf("store back")
		return nil
	})
	for _, id := range []string{"i-a", "i-b"} {
		time.Sleep(300 * time.Millisecond)
		r.runners[id].crash()
		time.Sleep(crashTime)
		if err := r.runners[id].restart("v2"); err != nil {
			return err
		}
	}
	return nil
}

// changes describes a list of versions by where they change.
func changes(events []string) string {
	text := ""
	for i, version := range events {
		if i == 0 || version != events[i-1] {
			text += fmt.Sprintf(" from event %d %s", i, version)
		}
	}
	return text
}
