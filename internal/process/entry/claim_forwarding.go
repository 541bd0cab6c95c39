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

// errOwnShard means that no other host writes the shard.
var errOwnShard = errors.New("entry: this host writes the shard")

// ForwardClaims returns a function that sends a claim entry to the writer of its
// shard: claims are divided into shards, and one live host writes each. The function
// returns an error if this host is the writer or there is none. settles marks the
// final state of a claim that is held.
func ForwardClaims(p Peers) func(ctx context.Context, shard int, entry *claim.Entry, settles bool) (claimer.Result, error) {
	return func(ctx context.Context, shard int, entry *claim.Entry, settles bool) (claimer.Result, error) {
		live := p.Live()
		writer := claims.ShardWriter(shard, eligibleWriters(live))
		if writer == p.Self {
			return claimer.Result{}, errOwnShard
		}
		for _, peerHost := range live {
			if peerHost.Host == writer {
				return offerTo(ctx, p, peerHost, &claims.OfferRequest{Entry: entry, Settles: settles})
			}
		}
		return claimer.Result{}, errOwnShard
	}
}

func offerTo(ctx context.Context, p Peers, to member.Peer, offer *claims.OfferRequest) (claimer.Result, error) {
	client := claims.NewClaimServiceClient(p.Client, "http://"+to.Address.String())
	response, err := client.Offer(ctx, connect.NewRequest(offer))
	if err != nil {
		return claimer.Result{}, err
	}
	return claimer.Result{Decision: claim.Decision(response.Msg.GetDecision()), Entry: response.Msg.GetEntry()}, nil
}

// eligibleWriters lists the live hosts that are not suspected to have failed.
func eligibleWriters(live []member.Peer) []identity.Host {
	var hosts []identity.Host
	for _, peerHost := range live {
		if !peerHost.Suspected {
			hosts = append(hosts, peerHost.Host)
		}
	}
	return hosts
}

// MountClaims adds the claim service to the peer listener's router. It lets peers
// have their claims written by c.
func MountClaims(router peer.Router, c *claimer.Claimer) {
	path, handler := claims.NewClaimServiceHandler(claimServer{claimer: c})
	router.PathPrefix(path).Handler(handler)
}

// claimServer implements the claim service.
type claimServer struct {
	claimer *claimer.Claimer
}

// Offer writes a claim for a peer.
func (w claimServer) Offer(ctx context.Context, r *connect.Request[claims.OfferRequest]) (*connect.Response[claims.OfferResponse], error) {
	entry := r.Msg.GetEntry()
	if len(entry.GetId()) != len(claim.ID{}) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("claim entry has no valid id"))
	}
	result := w.claimer.SubmitForPeer(ctx, entry, r.Msg.GetSettles())
	if result.Err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, result.Err)
	}
	return connect.NewResponse(&claims.OfferResponse{Decision: uint32(result.Decision), Entry: result.Entry}), nil
}
