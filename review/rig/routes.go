package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// lateBeat is how long after it was made a heartbeat without an answer takes effect.
	lateBeat = 5 * time.Second
	// readPause is the pause between two reads.
	readPause = 50 * time.Millisecond
	readCount = 60
)

// playRoutes restarts the runners of a service one after the other. The last heartbeat that
// each made before gets no answer from the store and takes effect after the restart. Later
// a configuration adds a route.
func playRoutes(dir, recordPath string, trouble bool) (err error) {
	ids := []string{"i-a", "i-b", "i-c"}
	r, err := newRig(dir, recordPath, 2, map[string]string{"i-a": "v1", "i-b": "v1", "i-c": "v1"})
	if r != nil {
		defer func() { err = errors.Join(err, r.stop()) }()
	}
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	first := r.reads("first")
	if trouble {
		for _, id := range ids {
			if err := restartWithLateBeat(r.runners[id]); err != nil {
				return err
			}
		}
	}
	// The last heartbeat takes effect, the runners write their entries again, and all
	// machines are in touch.
	time.Sleep(lateBeat + heartbeat + 5*time.Second)
	for _, id := range ids {
		r.record.logf("the store lists %s: %v, born %d", id, r.store.lists("servers/"+id), r.store.incarnation("servers/"+id))
		if _, born, _ := r.runners[id].entry(); r.store.incarnation("servers/"+id) != born {
			return fmt.Errorf("the entry of runner %s is not that of its latest start", id)
		}
	}
	r.configure(2, "first", "added")
	time.Sleep(4 * time.Second)
	first += r.reads("first")
	added := r.reads("added")
	r.writeSummary(map[string]any{"on the first route": 2 * readCount, "served": first, "on the added route": readCount, "of these served": added})
	if float64(added)/readCount < 0.25*float64(first)/(2*readCount) {
		return fmt.Errorf("%w: CONFIG: %d of %d requests on the added route were served, %d of %d on the first", errBroken, added, readCount, first, 2*readCount)
	}
	return nil
}

// reads sends reads on a route and returns how many were served.
func (r *rig) reads(route string) int {
	served := 0
	for i := range readCount {
		if r.client.get(route, fmt.Sprintf("%s-%d-%d", route, time.Now().UnixMilli(), i)) {
			served++
		}
		time.Sleep(readPause)
	}
	return served
}

// readLoad sends reads on the first route at an interval for the given time.
func (r *rig) readLoad(interval, duration time.Duration) {
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		r.playing.Add(1)
		r.run(func() error {
			defer r.playing.Done()
			r.client.get("first", fmt.Sprintf("g%d", i))
			return nil
		})
		time.Sleep(interval)
	}
}
