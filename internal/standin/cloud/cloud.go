// Package cloud is a small stand-in of the cloud API and the host list.
//
// # Time
//
// A host shows in the list, and changes state there, only after ListLag. A
// reclaim publishes its notice at once and ends the host at the deadline.
package cloud

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/standin/reply"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Faults says how the cloud misbehaves.
type Faults struct {
	// RefuseZones lists zones in which no reclaimable host can be started.
	RefuseZones []identity.Zone `json:"refuse_zones"`
	// LoseAnswerEvery cuts the connection after every n-th started host.
	LoseAnswerEvery int `json:"lose_answer_every"`
}

// Reclaim is the control that takes hosts back: one host, or a whole zone's
// reclaimable ones.
type Reclaim struct {
	Host         identity.Host `json:"host,omitempty"`
	Zone         identity.Zone `json:"zone,omitempty"`
	NoticeMillis int64         `json:"notice_ms"`
	// Silent takes the hosts back without a notice.
	Silent bool `json:"silent,omitempty"`
}

// Cloud keeps the hosts. Make one with New.
type Cloud struct {
	// ListLag is how late the host list is.
	ListLag time.Duration
	// Launch starts the process of a new host; End stops one for good.
	Launch func(start wire.Start) (wire.Host, error)
	End    func(host identity.Host)

	mu      sync.Mutex
	hosts   map[identity.Host]entry
	notices []wire.Notice
	started int
	faults  Faults
}

// entry is a host with the time from which the list shows its state.
type entry struct {
	host    wire.Host
	before  wire.State
	visible time.Time
	removed bool
	started time.Time
}

// New makes a cloud without hosts.
func New() *Cloud {
	return &Cloud{
		Launch: func(wire.Start) (wire.Host, error) { return wire.Host{}, http.ErrNotSupported },
		End:    func(identity.Host) {},
		hosts:  make(map[identity.Host]entry),
	}
}

// Add lists a host at once.
func (c *Cloud) Add(h wire.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[h.ID] = entry{host: h, before: h.State, started: time.Now()}
}

// SetFaults changes how the cloud misbehaves from now on.
func (c *Cloud) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// Handler serves the cloud API, the host list, and controls under /standin.
func (c *Cloud) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(wire.HostsPath, c.list).Methods(http.MethodGet)
	router.HandleFunc(wire.HostsPath, c.start).Methods(http.MethodPost)
	router.HandleFunc(wire.HostsPath+"/{host}", c.end).Methods(http.MethodDelete)
	router.HandleFunc(wire.NoticesPath, c.getNotices).Methods(http.MethodGet)
	router.HandleFunc("/standin/reclaim", c.reclaim).Methods(http.MethodPost)
	router.HandleFunc("/standin/faults", c.putFaults).Methods(http.MethodPut)
	return router
}

func (c *Cloud) list(w http.ResponseWriter, _ *http.Request) {
	answer := wire.Hosts{Hosts: []wire.Host{}}
	now := time.Now()
	c.mu.Lock()
	for id, e := range c.hosts {
		seen := !now.Before(e.visible)
		if seen && e.removed {
			delete(c.hosts, id)
			continue
		}
		if !seen && e.before == "" {
			continue
		}
		if !seen {
			e.host.State = e.before
		}
		answer.Hosts = append(answer.Hosts, e.host)
	}
	c.mu.Unlock()
	sort.Slice(answer.Hosts, func(i, j int) bool { return answer.Hosts[i].ID < answer.Hosts[j].ID })
	reply.JSON(w, http.StatusOK, answer)
}

func (c *Cloud) start(w http.ResponseWriter, r *http.Request) {
	var start wire.Start
	if err := json.NewDecoder(r.Body).Decode(&start); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.refuses(start) {
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
		return
	}
	host, err := c.Launch(start)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c.mu.Lock()
	c.hosts[host.ID] = entry{host: host, visible: time.Now().Add(c.ListLag), started: time.Now()}
	c.started++
	lose := c.faults.LoseAnswerEvery > 0 && c.started%c.faults.LoseAnswerEvery == 0
	c.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply.JSON(w, http.StatusOK, host)
}

func (c *Cloud) refuses(start wire.Start) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, zone := range c.faults.RefuseZones {
		if start.Reclaimable && zone == start.Zone {
			return true
		}
	}
	return false
}

func (c *Cloud) end(w http.ResponseWriter, r *http.Request) {
	c.remove(identity.Host(mux.Vars(r)["host"]))
	w.WriteHeader(http.StatusNoContent)
}

// remove ends a host; the list shows it for ListLag more.
func (c *Cloud) remove(id identity.Host) {
	c.mu.Lock()
	e, ok := c.hosts[id]
	if ok && !e.removed {
		e.before = e.host.State
		e.removed = true
		e.visible = time.Now().Add(c.ListLag)
		c.hosts[id] = e
	}
	c.mu.Unlock()
	if ok {
		c.End(id)
	}
}

func (c *Cloud) getNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	answer := wire.Notices{Notices: []wire.Notice{}}
	c.mu.Lock()
	for _, n := range c.notices {
		if n.Sequence > after {
			answer.Notices = append(answer.Notices, n)
		}
	}
	c.mu.Unlock()
	reply.JSON(w, http.StatusOK, answer)
}

func (c *Cloud) reclaim(w http.ResponseWriter, r *http.Request) {
	var ask Reclaim
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply.JSON(w, http.StatusOK, struct {
		Hosts []identity.Host `json:"hosts"`
	}{c.Reclaim(ask)})
}

// Reclaim takes hosts back after their notice, and tells which.
func (c *Cloud) Reclaim(ask Reclaim) []identity.Host {
	notice := time.Duration(ask.NoticeMillis) * time.Millisecond
	deadline := time.Now().Add(notice)
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := []identity.Host{}
	for id, e := range c.hosts {
		whole := ask.Zone != "" && e.host.Zone == ask.Zone && e.host.Reclaimable && e.host.Service != ""
		if e.removed || (id != ask.Host && !whole) {
			continue
		}
		taken = append(taken, id)
		if !ask.Silent {
			c.notices = append(c.notices, wire.Notice{
				Sequence: uint64(len(c.notices) + 1), Host: id, Incarnation: e.host.Incarnation, Deadline: deadline,
			})
			e.before = e.host.State
			e.host.State = wire.Leaving
			e.visible = time.Now().Add(c.ListLag)
			c.hosts[id] = e
		}
		time.AfterFunc(notice, func() { c.remove(id) })
	}
	sort.Slice(taken, func(i, j int) bool { return taken[i] < taken[j] })
	return taken
}

func (c *Cloud) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.SetFaults(f)
}
