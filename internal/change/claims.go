package change

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// ErrClaimStore is wrapped by the errors of Claims.
var ErrClaimStore = errors.New("claim could not be read or written in the store")

// claimTimeout bounds the store calls for one claim.
const claimTimeout = time.Second

// Claims binds each caller's key to one token, consistently for all VMs.
type Claims interface {
	// Claim stores the claim under the key unless the key already has one, and
	// returns the stored claim. Its errors wrap ErrClaimStore.
	Claim(ctx context.Context, key string, claim *pb.ChangeClaim) (*pb.ChangeClaim, error)
	// Find returns the claim stored under the key, or nil if there is none. Its
	// errors wrap ErrClaimStore.
	Find(ctx context.Context, key string) (*pb.ChangeClaim, error)
}

// KeyValue is the subset of the platform's store that StoreClaims uses.
type KeyValue interface {
	// Read returns the value stored under the key; found is false if there is none.
	Read(ctx context.Context, key string) (value []byte, found bool, err error)
	// Create writes the value if the key does not exist, and returns the value now
	// stored. The value may have been written even if Create returns an error.
	Create(ctx context.Context, key string, value []byte) (stored []byte, err error)
}

// StoreClaims stores claims in the platform's store.
type StoreClaims struct {
	store KeyValue
}

// NewStoreClaims returns Claims backed by the store.
func NewStoreClaims(store KeyValue) *StoreClaims {
	return &StoreClaims{store: store}
}

// Claim implements Claims. If the response to the write is lost, it reads the claim
// back.
func (s *StoreClaims) Claim(ctx context.Context, key string, claim *pb.ChangeClaim) (*pb.ChangeClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := proto.Marshal(claim)
	if err != nil {
		return nil, errors.Wrap(ErrClaimStore, err.Error())
	}
	stored, err := s.store.Create(ctx, key, value)
	if err == nil {
		return decodeClaim(stored)
	}
	found, readErr := s.Find(ctx, key)
	if readErr != nil || found == nil {
		return nil, errors.Wrap(ErrClaimStore, err.Error())
	}
	return found, nil
}

// Find implements Claims.
func (s *StoreClaims) Find(ctx context.Context, key string) (*pb.ChangeClaim, error) {
	value, found, err := s.store.Read(ctx, key)
	if err != nil {
		return nil, errors.Wrap(ErrClaimStore, err.Error())
	}
	if !found {
		return nil, nil
	}
	return decodeClaim(value)
}

func decodeClaim(value []byte) (*pb.ChangeClaim, error) {
	claim := &pb.ChangeClaim{}
	if err := proto.Unmarshal(value, claim); err != nil {
		return nil, errors.Wrap(ErrClaimStore, err.Error())
	}
	return claim, nil
}

// claimKey returns the store key for a caller's key.
func claimKey(callerKey string) string {
	return "carawayreel/claims/" + hex.EncodeToString([]byte(callerKey))
}

// submitByCallerKey binds the caller's key to a token and submits under that token.
// If the claim can be neither written nor read, nothing runs. The outcome is then
// unknown, since an earlier submission under the key may have run.
func (c *Runner) submitByCallerKey(ctx context.Context, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	if r.CallerKey == "" {
		return c.respond("", notRunResult("neither a token nor a caller key was given; nothing ran"))
	}
	if c.options.Views.Current().Stopping {
		return c.respond("", unknownResult(reasonStopping))
	}
	token, err := c.newToken()
	if err != nil {
		return c.respond("", unknownResult("no token could be made; this submission ran nothing"))
	}
	proposed := &pb.ChangeClaim{Token: token.String(), ContentDigest: Digest(r.Change)}
	claim, err := c.options.Claims.Claim(ctx, claimKey(r.CallerKey), proposed)
	if err != nil {
		return c.respond("", unknownResult("the store cannot be reached; this submission ran nothing, an earlier one under the key may have"))
	}
	withToken := proto.Clone(r).(*pb.SubmitChangeRequest)
	withToken.Token = claim.Token
	withToken.CallerKey = ""
	return c.submit(ctx, withToken)
}

func (c *Runner) outcomeByCallerKey(ctx context.Context, r *pb.GetOutcomeRequest) *pb.GetOutcomeResponse {
	claim, err := c.options.Claims.Find(ctx, claimKey(r.CallerKey))
	if err != nil {
		return outcomeResponse("", unknownResult("the store cannot be reached"))
	}
	if claim == nil {
		return outcomeResponse("", unknownResult("no claim under the key is stored"))
	}
	return c.Outcome(ctx, &pb.GetOutcomeRequest{Token: claim.Token})
}
