package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	freezeTime = 5 * time.Second
	// drainTime is how long a runner serves after it has said that it leaves: drainMs and a
	// little longer. bootTime is how long it takes to start again.
	drainTime = 2700 * time.Millisecond
	bootTime  = 500 * time.Millisecond
	// releaseGap is the time between two runners that are replaced.
	releaseGap = time.Second
	// readInterval is the time between two reads, whose service is that of the streams.
	readInterval = 10 * time.Millisecond
	// storeLatency is 4 ms and the way between two regions and back.
	storeLatency = 28 * time.Millisecond
)

// playFrozen replaces half of the runners of a service, as planned, while one host is
// frozen. Each is back under its id and address with a newer software version.
func playFrozen(dir, recordPath string, trouble bool) (err error) {
	streamEvents = 160
	r, err := newRig(dir, recordPath, 2, map[string]string{"i-a": "v1", "i-b": "v1", "i-c": "v1", "i-d": "v1"})
	if r != nil {
		defer func() { err = errors.Join(err, r.stop()) }()
	}
	if err != nil {
		return err
	}
	r.store.latency = storeLatency
	r.run(func() error {
		r.load("s", 30*time.Millisecond, 14*time.Second)
		return nil
	})
	r.run(func() error {
		r.readLoad(readInterval, 14*time.Second)
		return nil
	})
	time.Sleep(8 * time.Second)
	if trouble {
		r.record.logf("%s frozen", r.hosts[0].name)
		if err := r.hosts[0].signal(syscall.SIGSTOP); err != nil {
			return err
		}
		r.setHosts(r.hosts[1])
	}
	frozen := time.Now()
	for _, id := range []string{"i-a", "i-b"} {
		r.run(func() error {
			r.runners[id].drain(drainTime)
			time.Sleep(bootTime)
			return r.runners[id].restart("v2")
		})
		time.Sleep(releaseGap)
	}
	time.Sleep(freezeTime - time.Since(frozen))
	if trouble {
		r.record.logf("%s wakes", r.hosts[0].name)
		if err := r.hosts[0].signal(syscall.SIGCONT); err != nil {
			return err
		}
		r.setHosts(r.hosts...)
	}
	time.Sleep(12 * time.Second)
	r.playing.Wait()
	mixed := r.client.mixed()
	for _, s := range mixed {
		r.record.logf("stream %s holds events of two versions: %s", s.name, changes(s.events))
	}
	r.writeSummary(map[string]any{"streams": len(r.client.streams), "mixed": len(mixed), "allowed": maxMixed})
	if len(mixed) > maxMixed {
		return fmt.Errorf("%w: ORDER: %d streams hold events of two software versions", errBroken, len(mixed))
	}
	return nil
}
