package target

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	// setupsAtOnce is the number of connections set up at once to one target.
	setupsAtOnce = 2
	// defaultSetup is the set-up time assumed when none is configured.
	defaultSetup = time.Millisecond
	// dialTimeout bounds one connection set-up.
	dialTimeout = 2 * time.Second
)

// dialer opens connections within the target's budget and at its pace.
type dialer struct {
	address string
	inner   net.Dialer
	budget  *budget
	// setups holds one element for each connection being opened.
	setups     chan struct{}
	pace       *rate.Limiter
	onIdleLoss func()
}

func newDialer(options Options) *dialer {
	d := &dialer{
		address:    options.Address,
		inner:      net.Dialer{},
		budget:     newBudget(options.Connections),
		setups:     make(chan struct{}, setupsAtOnce),
		pace:       rate.NewLimiter(paceOf(options.Setup), setupsAtOnce),
		onIdleLoss: options.OnIdleLoss,
	}
	if options.SourceAddress != "" {
		d.inner.LocalAddr = &net.TCPAddr{IP: net.ParseIP(options.SourceAddress)}
	}
	return d
}

// paceOf returns the rate at which connections may be opened.
func paceOf(setup time.Duration) rate.Limit {
	if setup <= 0 {
		setup = defaultSetup
	}
	return rate.Limit(float64(setupsAtOnce) / setup.Seconds())
}

// dial opens one connection. It waits for the budget and the pace until ctx
// ends, and then fails with ErrBudget.
func (d *dialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := d.admit(ctx); err != nil {
		return nil, errors.Wrap(ErrBudget, err.Error())
	}
	defer func() { <-d.setups }()
	inner, err := d.inner.DialContext(ctx, "tcp", d.address)
	if err != nil {
		d.budget.release()
		return nil, &dialError{cause: err}
	}
	return newConn(inner, d.budget.release, d.onIdleLoss), nil
}

// admit takes a place in the budget and in the set-ups.
func (d *dialer) admit(ctx context.Context) error {
	if err := d.budget.acquire(ctx); err != nil {
		return err
	}
	select {
	case d.setups <- struct{}{}:
	case <-ctx.Done():
		d.budget.release()
		return ctx.Err()
	}
	if err := d.pace.Wait(ctx); err != nil {
		<-d.setups
		d.budget.release()
		return err
	}
	return nil
}
