// Package platformclient is the client of the key-value service and the VM list of the
// product's own platform protocol (platform.proto). The users' platform is accessed by
// the package platform at the root of the module instead.
//
// The client maps each error to one of the three kinds that other packages must
// distinguish: the call had no effect (ErrUnavailable), the outcome of a write is
// unknown (ErrOutcomeUnknown), or the rate limit was exceeded (ErrRateLimited).
package platformclient

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
)

// Entry is a stored value with its version. Version zero means that the key does
// not exist.
type Entry struct {
	Value   []byte
	Version uint64
}

// PutResult is the result of a compare-and-swap (Store.Put).
type PutResult struct {
	// Written is false if the key's version was not the expected one. Version
	// and Current are then the stored version and value.
	Written bool
	Version uint64
	Current []byte
}

// WatchResult is the result of one watch. Entry is meaningful only if Changed is true.
type WatchResult struct {
	Changed bool
	Entry   Entry
}

// Store is the platform's key-value service. Implementations are safe for
// concurrent use and return errors that wrap one of this package's error kinds.
type Store interface {
	// Get reads a key. A missing key is an Entry with version zero, not an error.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes the value if the key has the expected version; zero means that
	// the key must not exist. The write is sent at most once.
	Put(ctx context.Context, key string, value []byte, expectedVersion uint64) (PutResult, error)
	// Replace writes the value regardless of the key's version. Use it only where
	// repeating the write is harmless.
	Replace(ctx context.Context, key string, value []byte) error
	// Expire replaces the value by an empty one under a lease, so that the store
	// removes the key after the given time.
	Expire(ctx context.Context, key string, after time.Duration) error
	// Watch waits until the key's version exceeds afterVersion, but no longer
	// than wait.
	Watch(ctx context.Context, key string, afterVersion uint64, wait time.Duration) (WatchResult, error)
}

// VMList is the platform's list of VMs. It is eventually consistent: changes appear
// with a delay.
type VMList interface {
	ListVMs(ctx context.Context) ([]*pb.ListedVm, error)
}

// Client calls the platform. It implements Store and VMList and is safe for
// concurrent use.
type Client struct {
	store   carawayreelv1connect.KeyValueServiceClient
	list    carawayreelv1connect.VmListServiceClient
	timeout time.Duration
}

// NewClient returns a client of the platform at baseURL, such as
// http://127.0.0.1:7000. The timeout applies to each call; for a watch, it is added
// to the time that the watch waits.
func NewClient(httpClient connect.HTTPClient, baseURL string, timeout time.Duration) *Client {
	noRetry := noRetryClient{httpClient}
	return &Client{
		store:   carawayreelv1connect.NewKeyValueServiceClient(noRetry, baseURL),
		list:    carawayreelv1connect.NewVmListServiceClient(noRetry, baseURL),
		timeout: timeout,
	}
}

// noRetryClient prevents net/http from resending a request on its own. Without
// GetBody, a request cannot be resent once its body has been read, and without an
// idempotency key net/http does not treat a POST as replayable.
type noRetryClient struct {
	client connect.HTTPClient
}

// Do sends the request at most once.
func (s noRetryClient) Do(r *http.Request) (*http.Response, error) {
	r.GetBody = nil
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	return s.client.Do(r)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.store.Get(ctx, connect.NewRequest(&pb.KeyValueGetRequest{Key: key}))
	if err != nil {
		return Entry{}, readError(err)
	}
	return Entry{Value: response.Msg.Value, Version: response.Msg.Version}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expectedVersion uint64) (PutResult, error) {
	response, err := c.put(ctx, &pb.KeyValuePutRequest{Key: key, Value: value, ExpectedVersion: expectedVersion})
	if err != nil {
		return PutResult{}, err
	}
	return PutResult{Written: response.Written, Version: response.Version, Current: response.Value}, nil
}

// Replace implements Store.
func (c *Client) Replace(ctx context.Context, key string, value []byte) error {
	_, err := c.put(ctx, &pb.KeyValuePutRequest{Key: key, Value: value, Unconditional: true})
	return err
}

// Expire implements Store.
func (c *Client) Expire(ctx context.Context, key string, after time.Duration) error {
	lease, err := c.grantLease(ctx, after)
	if err != nil {
		return err
	}
	_, err = c.put(ctx, &pb.KeyValuePutRequest{Key: key, Unconditional: true, Lease: lease})
	return err
}

func (c *Client) grantLease(ctx context.Context, duration time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request := &pb.GrantLeaseRequest{DurationMs: uint32(duration.Milliseconds())}
	response, err := c.store.GrantLease(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, readError(err)
	}
	return response.Msg.Lease, nil
}

func (c *Client) put(ctx context.Context, request *pb.KeyValuePutRequest) (*pb.KeyValuePutResponse, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Kind: ErrUnavailable, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.store.Put(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, writeError(err)
	}
	return response.Msg, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, afterVersion uint64, wait time.Duration) (WatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	request := &pb.KeyValueWatchRequest{Key: key, AfterVersion: afterVersion, WaitMs: uint32(wait.Milliseconds())}
	response, err := c.store.Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return WatchResult{}, readError(err)
	}
	entry := Entry{Value: response.Msg.Value, Version: response.Msg.Version}
	return WatchResult{Changed: response.Msg.Changed, Entry: entry}, nil
}

// ListVMs implements VMList.
func (c *Client) ListVMs(ctx context.Context) ([]*pb.ListedVm, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.list.ListVms(ctx, connect.NewRequest(&pb.ListVmsRequest{}))
	if err != nil {
		return nil, readError(err)
	}
	return response.Msg.Vms, nil
}
