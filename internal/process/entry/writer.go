package entry

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/dandelionlift/dandelionlift/internal/connection/claims"
	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/process/claimer"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/request/claim"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// errOwnShard tells that this host writes the shard itself.
var errOwnShard = errors.New("entry: this host writes the shard")

// ForwardClaims gives the function by which a claimer lets the writer of a shard
// write for it.
func ForwardClaims(p Peers) func(ctx context.Context, shard int, entry *claim.Entry, settles bool) (claimer.Result, error) {
	return func(ctx context.Context, shard int, entry *claim.Entry, settles bool) (claimer.Result, error) {
		live := p.Live()
		writer := claims.Writer(shard, writers(live))
		if writer == p.Self {
			return claimer.Result{}, errOwnShard
		}
		for _, m := range live {
			if m.Host == writer {
				return forwardTo(ctx, p, m, &claims.OfferRequest{Entry: entry, Settles: settles})
			}
		}
		return claimer.Result{}, errOwnShard
	}
}

func forwardTo(ctx context.Context, p Peers, to member.Peer, offer *claims.OfferRequest) (claimer.Result, error) {
	client := claims.NewClaimServiceClient(p.Client, "http://"+to.Address.String())
	response, err := client.Offer(ctx, connect.NewRequest(offer))
	if err != nil {
		return claimer.Result{}, err
	}
	return claimer.Result{Decision: claim.Decision(response.Msg.GetDecision()), Entry: response.Msg.GetEntry()}, nil
}

// writers lists the hosts that may write shards.
func writers(live []member.Peer) []identity.Host {
	var hosts []identity.Host
	for _, m := range live {
		if !m.Suspected {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// MountClaims lets peers have their claims written by c.
func MountClaims(router peer.Router, c *claimer.Claimer) {
	path, handler := claims.NewClaimServiceHandler(writer{claimer: c})
	router.PathPrefix(path).Handler(handler)
}

type writer struct {
	claimer *claimer.Claimer
}

// Offer writes a claim for a peer.
func (w writer) Offer(ctx context.Context, r *connect.Request[claims.OfferRequest]) (*connect.Response[claims.OfferResponse], error) {
	entry := r.Msg.GetEntry()
	if len(entry.GetId()) != len(claim.ID{}) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("entry without id"))
	}
	result := w.claimer.Offer(ctx, entry, r.Msg.GetSettles())
	if result.Err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, result.Err)
	}
	return connect.NewResponse(&claims.OfferResponse{Decision: uint32(result.Decision), Entry: result.Entry}), nil
}
