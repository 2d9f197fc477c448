package change

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// ErrStore is the cause of errors of claims that could not be settled.
var ErrStore = errors.New("claim could not be settled in the store")

// claimTimeout bounds the calls to the store for one claim.
const claimTimeout = time.Second

// Claims binds callers' keys to tokens, once and for all VMs.
type Claims interface {
	// Claim stores the claim under the key unless one is there already, and
	// returns the one that stands. The error's cause is ErrStore.
	Claim(ctx context.Context, key string, claim *pb.ChangeClaim) (*pb.ChangeClaim, error)
	// Find returns the claim under the key, or nil when there is none. The
	// error's cause is ErrStore.
	Find(ctx context.Context, key string) (*pb.ChangeClaim, error)
}

// KeyValue is the part of the platform's store that claims need.
type KeyValue interface {
	// Read returns the value under the key; found is false when there is none.
	Read(ctx context.Context, key string) (value []byte, found bool, err error)
	// Create writes the value when the key does not exist. It returns the value
	// that stands. An error may mean that the value was written.
	Create(ctx context.Context, key string, value []byte) (standing []byte, err error)
}

// StoreClaims keeps claims in the platform's store.
type StoreClaims struct {
	store KeyValue
}

// NewStoreClaims returns claims kept in the store.
func NewStoreClaims(store KeyValue) *StoreClaims {
	return &StoreClaims{store: store}
}

// Claim stores the claim, and settles a lost answer by reading back.
func (s *StoreClaims) Claim(ctx context.Context, key string, claim *pb.ChangeClaim) (*pb.ChangeClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := proto.Marshal(claim)
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	standing, err := s.store.Create(ctx, key, value)
	if err == nil {
		return decodeClaim(standing)
	}
	found, readErr := s.Find(ctx, key)
	if readErr != nil || found == nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	return found, nil
}

// Find reads the claim.
func (s *StoreClaims) Find(ctx context.Context, key string) (*pb.ChangeClaim, error) {
	value, found, err := s.store.Read(ctx, key)
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	if !found {
		return nil, nil
	}
	return decodeClaim(value)
}

func decodeClaim(value []byte) (*pb.ChangeClaim, error) {
	claim := &pb.ChangeClaim{}
	if err := proto.Unmarshal(value, claim); err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	return claim, nil
}

// claimKey returns the store key of a caller's key.
func claimKey(callerKey string) string {
	return "carawayreel/claims/" + hex.EncodeToString([]byte(callerKey))
}

// submitUnderKey binds the caller's key to a token and submits under the token.
// When the claim cannot be settled nothing runs, but an earlier submission under
// the key may have, so that the outcome is unknown.
func (c *Changes) submitUnderKey(ctx context.Context, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	if r.CallerKey == "" {
		return c.respond("", notRun("neither a token nor a caller key was given; nothing ran"))
	}
	if c.options.Views.Current().Stopping {
		return c.respond("", unknown(reasonStopping))
	}
	token, err := c.newToken()
	if err != nil {
		return c.respond("", unknown("no token could be made; this submission ran nothing"))
	}
	mine := &pb.ChangeClaim{Token: token.String(), ContentDigest: Digest(r.Change)}
	standing, err := c.options.Claims.Claim(ctx, claimKey(r.CallerKey), mine)
	if err != nil {
		return c.respond("", unknown("the store cannot be reached; this submission ran nothing, an earlier one under the key may have"))
	}
	bound := proto.Clone(r).(*pb.SubmitChangeRequest)
	bound.Token = standing.Token
	bound.CallerKey = ""
	return c.submit(ctx, bound)
}

func (c *Changes) outcomeUnderKey(ctx context.Context, r *pb.GetOutcomeRequest) *pb.GetOutcomeResponse {
	standing, err := c.options.Claims.Find(ctx, claimKey(r.CallerKey))
	if err != nil {
		return outcome("", unknown("the store cannot be reached"))
	}
	if standing == nil {
		return outcome("", unknown("no claim under the key is stored"))
	}
	return c.Outcome(ctx, &pb.GetOutcomeRequest{Token: standing.Token})
}
