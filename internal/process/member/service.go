package member

import (
	"context"

	"connectrpc.com/connect"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
)

// service answers the peers' calls.
type service struct {
	peer.UnimplementedPeerServiceHandler
	members *Members
}

// Beat answers one heartbeat.
func (v service) Beat(ctx context.Context, request *connect.Request[peer.BeatRequest]) (*connect.Response[peer.BeatResponse], error) {
	response := &peer.BeatResponse{Sender: v.members.sender()}
	err := v.members.do(ctx, func(s *state) { v.members.heard(s, request.Msg.GetSender()) })
	return connect.NewResponse(response), err
}
