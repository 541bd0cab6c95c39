package main

import "time"

// playLate restarts the two runners of one software version, one after the other. The last
// heartbeat that each made before gets no answer from the store and takes effect after the
// restart. Later a host is killed, and its clients take their streams up at the others.
func playLate(dir, recordPath string, trouble bool) error {
	return playTakeUp(dir, recordPath, trouble, 25*time.Millisecond, restartWithLateBeats)
}

// restartWithLateBeats returns once the runners have written their entries again after the
// late heartbeats, and all hosts are in touch.
func restartWithLateBeats(r *rig, ids ...string) error {
	for _, id := range ids {
		if err := restartWithLateBeat(r.runners[id]); err != nil {
			return err
		}
	}
	time.Sleep(lateBeat + heartbeat/2)
	return nil
}

func restartWithLateBeat(r *runner) error {
	r.beatLate(lateBeat)
	time.Sleep(100 * time.Millisecond)
	r.crash()
	time.Sleep(crashTime)
	return r.restart("v1")
}
