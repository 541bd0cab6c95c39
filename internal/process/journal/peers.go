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

// hint is the version that a peer has in force.
type hint struct {
	address netip.AddrPort
	version identity.Version
}

// NotifyVersion notifies the journal of the version that a peer has in force. The
// journal pulls it if it is higher than its own. NotifyVersion never blocks; a hint
// that is dropped comes again with the next heartbeats.
func (j *Journal) NotifyVersion(address netip.AddrPort, version identity.Version) {
	if own, _ := j.Version(); version <= own {
		return
	}
	select {
	case j.hints <- hint{address: address, version: version}:
	default:
	}
}

// pullFromPeers pulls from peers that have a higher version. After a failed pull it
// uses a new client.
func (j *Journal) pullFromPeers(ctx context.Context) error {
	client := j.NewClient()
	for {
		select {
		case h := <-j.hints:
			if version, _ := j.Version(); h.version <= version {
				continue
			}
			if err := j.pull(ctx, client, h.address); err != nil {
				j.Log.Info("pull_failed", "peer", h.address, "error", err)
				client.CloseIdleConnections()
				client = j.NewClient()
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
	response, err := peer.NewJournalServiceClient(client, "http://"+address.String()).Pull(ctx, request)
	if err != nil {
		return err
	}
	next, err := applyPulled(present, response.Msg)
	if err != nil {
		j.OnRefused(Forked)
		return err
	}
	j.advance(ctx, next)
	return nil
}

// applyPulled returns the state after applying a pull response to present.
func applyPulled(present State, response *peer.PullResponse) (State, error) {
	if len(response.GetState()) > 0 {
		var state State
		err := json.Unmarshal(response.GetState(), &state)
		return state, err
	}
	s := present
	for _, data := range response.GetEntries() {
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
	path, handler := peer.NewJournalServiceHandler(peerHandler{journal: j})
	router.PathPrefix(path).Handler(handler)
}

// peerHandler handles calls from peers.
type peerHandler struct {
	peer.UnimplementedJournalServiceHandler
	journal *Journal
}

// Pull returns the entries above a version, or the complete state if not all of
// them are kept.
func (v peerHandler) Pull(_ context.Context, request *connect.Request[peer.PullRequest]) (*connect.Response[peer.PullResponse], error) {
	s := v.journal.state.Load()
	response := &peer.PullResponse{Version: uint64(s.Configuration.Version)}
	above := identity.Version(request.Msg.GetAbove())
	if above >= s.Configuration.Version {
		return connect.NewResponse(response), nil
	}
	if entries, ok := s.entriesAbove(above); ok && above > 0 {
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
