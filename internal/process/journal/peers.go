package journal

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const pullTimeout = 2 * time.Second

// hint tells that a peer has a version.
type hint struct {
	address netip.AddrPort
	version identity.Version
}

// Ahead tells the journal that a peer has a version in force; the journal pulls
// it if it is higher than its own. It never waits: heartbeats repeat the hint.
func (j *Journal) Ahead(address netip.AddrPort, version identity.Version) {
	if own, _ := j.Version(); version <= own {
		return
	}
	select {
	case j.hints <- hint{address: address, version: version}:
	default:
	}
}

// learn pulls from peers that are ahead.
func (j *Journal) learn(ctx context.Context) error {
	client := j.Connect()
	for {
		select {
		case h := <-j.hints:
			if version, _ := j.Version(); h.version <= version {
				continue
			}
			if err := j.pull(ctx, client, h.address); err != nil {
				j.Log.Info("pull_failed", "peer", h.address, "error", err)
				client.CloseIdleConnections()
				client = j.Connect()
			}
		case <-ctx.Done():
			client.CloseIdleConnections()
			return nil
		}
	}
}

func (j *Journal) pull(ctx context.Context, client *http.Client, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	present := *j.state.Load()
	request := connect.NewRequest(&peer.PullRequest{Above: uint64(present.Configuration.Version)})
	answer, err := peer.NewJournalServiceClient(client, "http://"+address.String()).Pull(ctx, request)
	if err != nil {
		return err
	}
	next, err := received(present, answer.Msg)
	if err != nil {
		j.Refuse(Forked)
		return err
	}
	j.offer(ctx, next)
	return nil
}

// received gives the state that an answer leads to from present.
func received(present State, answer *peer.PullResponse) (State, error) {
	if len(answer.GetState()) > 0 {
		var whole State
		err := json.Unmarshal(answer.GetState(), &whole)
		return whole, err
	}
	s := present
	for _, data := range answer.GetEntries() {
		var e Entry
		if err := json.Unmarshal(data, &e); err != nil {
			return present, err
		}
		next, err := s.apply(e)
		if err != nil {
			return present, err
		}
		s = next
	}
	return s, nil
}

// Mount adds the journal's handlers to the peer listener's router.
func (j *Journal) Mount(router peer.Router) {
	path, handler := peer.NewJournalServiceHandler(service{journal: j})
	router.PathPrefix(path).Handler(handler)
}

// service answers the peers' calls.
type service struct {
	peer.UnimplementedJournalServiceHandler
	journal *Journal
}

// Pull gives the entries above a version, or the whole state if they are not at
// hand any more.
func (v service) Pull(_ context.Context, request *connect.Request[peer.PullRequest]) (*connect.Response[peer.PullResponse], error) {
	s := v.journal.state.Load()
	response := &peer.PullResponse{Version: uint64(s.Configuration.Version)}
	above := identity.Version(request.Msg.GetAbove())
	if above >= s.Configuration.Version {
		return connect.NewResponse(response), nil
	}
	if entries, ok := s.above(above); ok && above > 0 {
		for _, e := range entries {
			data, err := json.Marshal(e)
			if err != nil {
				return nil, err
			}
			response.Entries = append(response.Entries, data)
		}
		return connect.NewResponse(response), nil
	}
	data, err := json.Marshal(s)
	response.State = data
	return connect.NewResponse(response), err
}
