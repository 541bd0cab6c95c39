package origin

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// maxHold is for how long a version waits to be recorded. It is longer than another leader
// takes to act; a store that takes no writes must not keep endpoints idle for longer.
const maxHold = 3 * time.Second

// Versions holds which software versions have served lately, by service. Create one with
// NewVersions.
type Versions struct {
	// now is a clock on which the hosts agree, which may be set. elapsed is the time since
	// some moment, which only goes on.
	now     func() time.Time
	elapsed func() time.Duration

	mu        sync.Mutex
	retention time.Duration
	// gone holds when the last endpoint of a version was gone, zero while there is one.
	gone map[identity.Service]map[identity.Software]time.Time
	// present holds the versions that have endpoints, as last observed.
	present map[Origin]presence
	// recorded holds the versions that the record is known to contain.
	recorded map[Origin]bool
	// complete is set once what earlier processes knew has been merged.
	complete bool
}

// presence describes a version that has endpoints.
type presence struct {
	// since is when the first endpoint was observed, by elapsed.
	since time.Duration
	// ready is set if one of them is not leaving.
	ready bool
}

// NewVersions returns Versions without any. The clock should be one on which the hosts
// agree; elapsed returns the time since some moment.
func NewVersions(now func() time.Time, elapsed func() time.Duration) *Versions {
	return &Versions{
		now: now, elapsed: elapsed, retention: minRetention, gone: make(map[identity.Service]map[identity.Software]time.Time),
		present: make(map[Origin]presence), recorded: make(map[Origin]bool),
	}
}

// SetRetention sets for how long a version counts after its last endpoint is gone.
func (v *Versions) SetRetention(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.retention = d
}

// Observe records the versions of the endpoints that there are now.
func (v *Versions) Observe(endpoints []fleet.Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	present := make(map[Origin]presence)
	for i := range endpoints {
		e := &endpoints[i]
		o := Origin{e.Service, e.Software}
		p, found := present[o]
		if !found {
			p.since = v.elapsed()
			if before, known := v.present[o]; known {
				p.since = before.since
			}
		}
		p.ready = p.ready || !e.Leaving
		present[o] = p
	}
	v.present = present
	for o := range present {
		v.set(o, time.Time{})
	}
	for service, bySoftware := range v.gone {
		for software, gone := range bySoftware {
			if _, found := present[Origin{service, software}]; gone.IsZero() && !found {
				bySoftware[software] = now
				// Once it comes back the record may have dropped it.
				delete(v.recorded, Origin{service, software})
			}
		}
		maps.DeleteFunc(bySoftware, func(_ identity.Software, gone time.Time) bool { return v.old(now, gone) })
	}
}

// Held reports whether an endpoint of a version should not begin streams yet: the version
// is not recorded, and one that serves already is ready.
func (v *Versions) Held(o Origin) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	since := v.present[o].since
	if v.recorded[o] || v.elapsed()-since >= maxHold {
		return false
	}
	for other, p := range v.present {
		if other.Service == o.Service && other != o && p.ready && (v.recorded[other] || p.since < since) {
			return true
		}
	}
	return false
}

// Unrecorded returns for how long a service has had endpoints of a version that is not
// recorded, after or beside those of another one. It returns false if there is no such
// service.
func (v *Versions) Unrecorded() (age time.Duration, found bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for o, p := range v.present {
		if !v.recorded[o] && len(v.gone[o.Service]) > 1 {
			age, found = max(age, v.elapsed()-p.since), true
		}
	}
	return age, found
}

func (v *Versions) old(now, gone time.Time) bool {
	return !gone.IsZero() && now.Sub(gone) >= v.retention
}

func (v *Versions) set(o Origin, gone time.Time) {
	if v.gone[o.Service] == nil {
		v.gone[o.Service] = make(map[identity.Software]time.Time)
	}
	v.gone[o.Service][o.Software] = gone
}

// Recent returns the versions of a service with which streams may have begun that callers
// still wait for, in order. It returns false if there may be others.
func (v *Versions) Recent(service identity.Service) ([]identity.Software, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	var list []identity.Software
	for software, gone := range v.gone[service] {
		if !v.old(now, gone) {
			list = append(list, software)
		}
	}
	slices.Sort(list)
	return list, v.complete
}

// Several reports whether any service has had several versions lately.
func (v *Versions) Several() bool {
	v.mu.Lock()
	services := slices.Collect(maps.Keys(v.gone))
	v.mu.Unlock()
	return slices.ContainsFunc(services, func(service identity.Service) bool {
		list, _ := v.Recent(service)
		return len(list) > 1
	})
}

// versionsDocument is the stored form of Versions: when a version was gone, in Unix
// milliseconds, or zero.
type versionsDocument map[identity.Service]map[identity.Software]int64

// Document returns the record, the stored form.
func (v *Versions) Document() ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := make(versionsDocument)
	for service, bySoftware := range v.gone {
		d[service] = make(map[identity.Software]int64)
		for software, gone := range bySoftware {
			if !gone.IsZero() {
				d[service][software] = gone.UnixMilli()
			} else {
				d[service][software] = 0
			}
		}
	}
	return json.Marshal(d)
}

// Merge adds the record that is in the store; data is nil if there is none. A version that
// was there then and that this process has not seen is taken to be gone only now. It
// reports whether other versions are recorded than before.
func (v *Versions) Merge(data []byte) (changed bool, err error) {
	var d versionsDocument
	if data != nil {
		if err := json.Unmarshal(data, &d); err != nil {
			return false, err
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	before := v.recorded
	v.recorded = make(map[Origin]bool)
	for service, bySoftware := range d {
		for software, millis := range bySoftware {
			gone := now
			if millis == 0 {
				v.recorded[Origin{service, software}] = true
			} else if time.UnixMilli(millis).Before(now) {
				gone = time.UnixMilli(millis)
			}
			// Others may have seen it serve again, or for longer.
			if own, known := v.gone[service][software]; !known || !own.IsZero() && own.Before(gone) {
				v.set(Origin{service, software}, gone)
			}
		}
	}
	v.complete = true
	return !maps.Equal(before, v.recorded), nil
}
