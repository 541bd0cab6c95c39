package member

import (
	"context"

	"connectrpc.com/connect"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
)

// service handles calls from peers.
type service struct {
	peer.UnimplementedPeerServiceHandler
	members *Members
}

// Beat handles one heartbeat.
func (v service) Beat(ctx context.Context, request *connect.Request[peer.BeatRequest]) (*connect.Response[peer.BeatResponse], error) {
	response := new(peer.BeatResponse)
	err := v.members.do(ctx, func(s *state) {
		v.members.receive(s, request.Msg.GetSender(), request.Msg.GetNews())
		response = v.members.respond(s, request.Msg)
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}
