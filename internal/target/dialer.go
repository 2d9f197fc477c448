package target

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	// maxConcurrentSetups is the maximum number of concurrent connection setups to one target.
	maxConcurrentSetups = 2
	// defaultSetupTime is the assumed duration of a connection setup if none is configured.
	defaultSetupTime = time.Millisecond
	// dialTimeout is the timeout of one connection setup, including the wait for the budget and the setup
	// rate.
	dialTimeout = 2 * time.Second
)

// dialer opens connections within the connection budget and the setup rate of a target.
type dialer struct {
	address    string
	inner      net.Dialer
	connBudget *connBudget
	// setupSlots is a semaphore that holds one element for each connection being opened.
	setupSlots   chan struct{}
	setupLimiter *rate.Limiter
	onIdleLoss   func()
}

func newDialer(options Options) *dialer {
	d := &dialer{
		address:      options.Address,
		inner:        net.Dialer{},
		connBudget:   newConnBudget(options.Connections),
		setupSlots:   make(chan struct{}, maxConcurrentSetups),
		setupLimiter: rate.NewLimiter(setupRate(options.Setup), maxConcurrentSetups),
		onIdleLoss:   options.OnIdleLoss,
	}
	if options.SourceAddress != "" {
		d.inner.LocalAddr = &net.TCPAddr{IP: net.ParseIP(options.SourceAddress)}
	}
	return d
}

// setupRate returns the maximum rate of connection setups, per second.
func setupRate(setupTime time.Duration) rate.Limit {
	if setupTime <= 0 {
		setupTime = defaultSetupTime
	}
	return rate.Limit(float64(maxConcurrentSetups) / setupTime.Seconds())
}

// dial opens one connection. It waits until the budget and the setup rate allow it. It returns ErrBudget if
// ctx is done or dialTimeout passes first, and a *dialError if the setup fails.
func (d *dialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := d.acquire(ctx); err != nil {
		return nil, errors.Wrap(ErrBudget, err.Error())
	}
	defer func() { <-d.setupSlots }()
	inner, err := d.inner.DialContext(ctx, "tcp", d.address)
	if err != nil {
		d.connBudget.release()
		return nil, &dialError{cause: err}
	}
	return newConn(inner, d.connBudget.release, d.onIdleLoss), nil
}

// acquire reserves a connection in the budget and a setup slot, and waits for the rate limiter.
func (d *dialer) acquire(ctx context.Context) error {
	if err := d.connBudget.acquire(ctx); err != nil {
		return err
	}
	select {
	case d.setupSlots <- struct{}{}:
	case <-ctx.Done():
		d.connBudget.release()
		return ctx.Err()
	}
	if err := d.setupLimiter.Wait(ctx); err != nil {
		<-d.setupSlots
		d.connBudget.release()
		return err
	}
	return nil
}
