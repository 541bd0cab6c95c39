package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// minTakenUp is the least number of streams that clients must have taken up again.
	minTakenUp = 12
	// runnerCut is how long runners are cut off from the store.
	runnerCut = 5 * time.Second
)

// playLost cuts the two runners of one software version off from the store, one after the
// other, until their entries have expired. They serve on and register again. Later a host is killed, and its
// clients take their streams up at the others.
func playLost(dir, recordPath string, trouble bool) error {
	return playTakeUp(dir, recordPath, trouble, 25*time.Millisecond, cutRunners)
}

// playTakeUp disturbs the two runners of one software version and then kills a host.
func playTakeUp(dir, recordPath string, trouble bool, interval time.Duration, disturb func(*rig, ...string) error) (err error) {
	streamEvents = 200
	r, err := newRig(dir, recordPath, 3, map[string]string{"i-a": "v1", "i-b": "v1", "i-c": "v2", "i-d": "v2", "i-e": "v2"})
	if r != nil {
		defer func() { err = errors.Join(err, r.stop()) }()
	}
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	r.run(func() error {
		r.load("s", interval, 26*time.Second)
		return nil
	})
	time.Sleep(8 * time.Second)
	if trouble {
		if err := disturb(r, "i-a", "i-b"); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	for _, id := range []string{"i-a", "i-b"} {
		_, born, _ := r.runners[id].entry()
		listed := r.store.incarnation("servers/" + id)
		r.record.logf("the store lists %s: %v, born %d", id, r.store.lists("servers/"+id), listed)
		if listed != born {
			return fmt.Errorf("the entry of runner %s is not that of its latest start", id)
		}
	}
	r.record.logf("host %s killed", r.hosts[0].name)
	r.setHosts(r.hosts[1:]...)
	if err := r.hosts[0].signal(syscall.SIGKILL); err != nil {
		return err
	}
	killed := time.Now()
	time.Sleep(8 * time.Second)
	r.playing.Wait()
	return judgeLost(r, killed)
}

// cutRunners cuts runners off from the store one after the other, each until its entry has
// expired, and waits until the store lists them again.
func cutRunners(r *rig, ids ...string) error {
	for _, id := range ids {
		r.runners[id].setCut(true)
		time.Sleep(runnerCut)
		r.record.logf("the store lists %s: %v", id, r.store.lists("servers/"+id))
		r.runners[id].setCut(false)
		for end := time.Now().Add(2 * time.Second); !r.store.lists("servers/" + id); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("runner %s did not register again", id)
			}
		}
	}
	return nil
}

// judgeLost compares the streams of software v1, of which two runners serve, that were
// taken up since a time with the streams that began since then.
func judgeLost(r *rig, since time.Time) error {
	takenUp, wentOn, started, begun := 0, 0, 0, 0
	for _, s := range r.client.streams {
		if s.started.After(since) {
			started++
			if len(s.events) > 0 {
				begun++
			}
		}
		taken, went := s.takenUp(since)
		if taken && s.versions["v1"] {
			takenUp++
			if went {
				wentOn++
			}
		}
	}
	r.writeSummary(map[string]any{"started later": started, "begun": begun, "of v1 taken up": takenUp, "gone on": wentOn})
	if takenUp < minTakenUp || started == 0 {
		return fmt.Errorf("only %d streams of v1 were taken up, %d started later", takenUp, started)
	}
	if float64(wentOn)/float64(takenUp) < 0.5*float64(begun)/float64(started) {
		return fmt.Errorf("%w: LOST: %d of %d streams that were taken up went on, %d of %d began", errBroken, wentOn, takenUp, begun, started)
	}
	return nil
}
