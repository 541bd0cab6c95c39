// Package cloud simulates the cloud API and its host list for tests and demos.
//
// # Timing
//
// New hosts and state changes appear in the host list after ListLag. A reclaim
// publishes its notice immediately and ends the host at the deadline.
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

// Faults configures injected faults.
type Faults struct {
	// RefuseZones lists zones where starts of reclaimable hosts are refused.
	RefuseZones []identity.Zone `json:"refuse_zones"`
	// LoseAnswerEvery closes the connection without an answer after every n-th
	// started host; zero never does.
	LoseAnswerEvery int `json:"lose_answer_every"`
}

// Reclaim is a request, sent by tests, to reclaim one host, or all reclaimable
// endpoints of a zone.
type Reclaim struct {
	Host         identity.Host `json:"host,omitempty"`
	Zone         identity.Zone `json:"zone,omitempty"`
	NoticeMillis int64         `json:"notice_ms"`
	// Silent omits the notice; the hosts still end after NoticeMillis.
	Silent bool `json:"silent,omitempty"`
}

// Cloud manages the hosts. Use New to create one.
type Cloud struct {
	// ListLag is the delay of the host list.
	ListLag time.Duration
	// Launch starts a new host; Terminate stops a host permanently.
	Launch    func(request wire.StartRequest) (wire.Host, error)
	Terminate func(host identity.Host)

	mu         sync.Mutex
	hosts      map[identity.Host]entry
	notices    []wire.Notice
	startCount int
	faults     Faults
}

// entry is a host in the host list. Until updateAt the list shows the host as it
// was before its last change: with previousState, or not at all if that is empty.
// If removed is set, the host leaves the list at updateAt.
type entry struct {
	host          wire.Host
	previousState wire.State
	updateAt      time.Time
	removed       bool
	started       time.Time
}

// New returns a cloud without hosts.
func New() *Cloud {
	return &Cloud{
		Launch:    func(wire.StartRequest) (wire.Host, error) { return wire.Host{}, http.ErrNotSupported },
		Terminate: func(identity.Host) {},
		hosts:     make(map[identity.Host]entry),
	}
}

// Add adds a host to the host list without delay.
func (c *Cloud) Add(h wire.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[h.ID] = entry{host: h, previousState: h.State, started: time.Now()}
}

// SetFaults replaces the injected faults.
func (c *Cloud) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// Handler returns a handler for the cloud API, the host list and the test
// controls under /standin.
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
		updated := !now.Before(e.updateAt)
		if updated && e.removed {
			delete(c.hosts, id)
			continue
		}
		if !updated && e.previousState == "" {
			continue
		}
		if !updated {
			e.host.State = e.previousState
		}
		answer.Hosts = append(answer.Hosts, e.host)
	}
	c.mu.Unlock()
	sort.Slice(answer.Hosts, func(i, j int) bool { return answer.Hosts[i].ID < answer.Hosts[j].ID })
	reply.JSON(w, http.StatusOK, answer)
}

func (c *Cloud) start(w http.ResponseWriter, r *http.Request) {
	var request wire.StartRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.refuses(request) {
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
		return
	}
	host, err := c.Launch(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c.mu.Lock()
	c.hosts[host.ID] = entry{host: host, updateAt: time.Now().Add(c.ListLag), started: time.Now()}
	c.startCount++
	loseAnswer := c.faults.LoseAnswerEvery > 0 && c.startCount%c.faults.LoseAnswerEvery == 0
	c.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	reply.JSON(w, http.StatusOK, host)
}

// refuses reports whether a fault prevents the start.
func (c *Cloud) refuses(request wire.StartRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, zone := range c.faults.RefuseZones {
		if request.Reclaimable && zone == request.Zone {
			return true
		}
	}
	return false
}

func (c *Cloud) end(w http.ResponseWriter, r *http.Request) {
	c.remove(identity.Host(mux.Vars(r)["host"]))
	w.WriteHeader(http.StatusNoContent)
}

// remove ends a host, which stays in the host list for ListLag.
func (c *Cloud) remove(id identity.Host) {
	c.mu.Lock()
	e, ok := c.hosts[id]
	if ok && !e.removed {
		e.previousState = e.host.State
		e.removed = true
		e.updateAt = time.Now().Add(c.ListLag)
		c.hosts[id] = e
	}
	c.mu.Unlock()
	if ok {
		c.Terminate(id)
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
	var request Reclaim
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply.JSON(w, http.StatusOK, struct {
		Hosts []identity.Host `json:"hosts"`
	}{c.Reclaim(request)})
}

// Reclaim starts the reclaim of hosts and returns their names.
func (c *Cloud) Reclaim(request Reclaim) []identity.Host {
	notice := time.Duration(request.NoticeMillis) * time.Millisecond
	deadline := time.Now().Add(notice)
	c.mu.Lock()
	defer c.mu.Unlock()
	reclaimed := []identity.Host{}
	for id, e := range c.hosts {
		inZone := request.Zone != "" && e.host.Zone == request.Zone && e.host.Reclaimable && e.host.Service != ""
		if e.removed || (id != request.Host && !inZone) {
			continue
		}
		reclaimed = append(reclaimed, id)
		if !request.Silent {
			c.notices = append(c.notices, wire.Notice{
				Sequence: uint64(len(c.notices) + 1), Host: id, Incarnation: e.host.Incarnation, Deadline: deadline,
			})
			e.previousState = e.host.State
			e.host.State = wire.Leaving
			e.updateAt = time.Now().Add(c.ListLag)
			c.hosts[id] = e
		}
		time.AfterFunc(notice, func() { c.remove(id) })
	}
	sort.Slice(reclaimed, func(i, j int) bool { return reclaimed[i] < reclaimed[j] })
	return reclaimed
}

func (c *Cloud) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.SetFaults(f)
}
