// Package intake bounds what callers of routes may take of a VM: open connections, and the
// memory of connections, heads and bodies together. Callers that hold most for longest without
// progress give way to others when there is too little.
//
// Budget decides and is a pure state machine. Gate carries its decisions out on the listener
// and the connections of an HTTP server.
package intake

import (
	"net/netip"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	// ReadingHead lasts from the opening of the connection, or the first byte of another
	// request, to the end of the head.
	ReadingHead Phase = iota
	// ReadingBody lasts until the body is complete, or is no longer needed.
	ReadingBody
	// Running lasts from the end of the body to the end of the answer. The request may have
	// been sent to targets, so that the connection is not closed for the sake of others.
	Running
	// Answering lasts from the first byte of a large answer to its end. Only a caller that does
	// not read it gives way.
	Answering
	// Idle is a connection between two requests.
	Idle
	phases
)

// String returns the name of the phase as it is logged.
func (p Phase) String() string {
	return [phases]string{"head", "body", "running", "answer", "idle"}[p]
}

const (
	// ConnectionBytes is the memory of an open connection with a request of ordinary size: its
	// goroutines, the buffers of net/http and the first freeHeadBytes of a head. Measured: 1,000
	// connections with a request of 100 bytes took 14 KB each.
	ConnectionBytes = 24 << 10
	// stallTime is the time without progress after which a connection gives way to any other.
	// A connection that is in use delivers several pieces in it, also over a slow link.
	stallTime = time.Second
	// progressRate is the rate, in bytes a second, of a caller that makes progress all the time: a
	// link of 128 kbit/s. A slower one falls behind and counts as stalled for part of the time.
	progressRate = 16 << 10
	// commonShare is the part of the budget that is open to connections that hold more than
	// smallBytes and to addresses beyond their fair share. The rest is left to the others.
	commonShare = 0.75
	// smallBytes is what a connection with an ordinary request holds at most.
	smallBytes = 2 * ConnectionBytes
	// closingShare is the part of the budget that connections which have been told to close may
	// take beyond it until they have ended.
	closingShare = 0.125
	// batchDivisor is the part (1/n) of the budget that is freed at once, so that a crowd does
	// not cause a search for victims with each of its requests.
	batchDivisor = 32
	// searchInterval is the time for which an address that found no victims is not searched
	// for again. A search among 2,050 connections took 0.05 ms
	// (BenchmarkSearch).
	searchInterval = 20 * time.Millisecond
)

// resource is one of the two things that the budget bounds.
type resource int

const (
	connections resource = iota
	memory
	resources
)

// amounts holds an amount of each resource: a number of connections, and bytes.
type amounts [resources]int64

func (a *amounts) add(b amounts, factor int64) {
	for r := range a {
		a[r] += factor * b[r]
	}
}

// Limits are the bounds of a Budget: open connections, and bytes of memory.
type Limits struct{ Connections, Memory int64 }

// Eviction is a connection that gives way to others, and the phase that it was in.
type Eviction struct {
	ID    uint64
	Phase Phase
	Bytes int64
}

// entry is one connection.
type entry struct {
	id    uint64
	share *share
	held  amounts
	phase Phase
	// progressAt is the time up to which the connection has made progress: it advances with each
	// byte as at progressRate.
	progressAt time.Time
	// evicted is true once the connection has been told to close, and closed once it has.
	evicted, closed bool
}

// share is what the connections of one caller address hold together.
type share struct {
	address netip.Prefix
	held    amounts
	entries int
}

// Budget decides which connections and bytes are granted, and which connections are closed for
// them. It is not safe for concurrent use.
type Budget struct {
	limits amounts
	// held is what all connections hold; closing is the part of those told to close.
	held, closing amounts
	entries       map[uint64]*entry
	shares        map[netip.Prefix]*share
	// fruitless holds the searches without victims since fruitlessSince.
	fruitless      map[netip.Prefix]amounts
	fruitlessSince time.Time
}

// NewBudget returns a Budget with the given limits.
func NewBudget(limits Limits) *Budget {
	return &Budget{
		limits:  amounts{connections: limits.Connections, memory: limits.Memory},
		entries: map[uint64]*entry{}, shares: map[netip.Prefix]*share{}, fruitless: map[netip.Prefix]amounts{},
	}
}

// AddressKey returns the key that addresses are counted under. All addresses of an IPv6 network
// of 64 bits count as one, since a single caller may use any of them.
func AddressKey(address netip.Addr) netip.Prefix {
	const networkBits = 64
	address = address.Unmap().WithZone("")
	bits := address.BitLen()
	if address.Is6() {
		bits = networkBits
	}
	// The only error is a number of bits that the address does not have.
	key, _ := address.Prefix(bits)
	return key
}

// Open asks for a connection. It returns whether it was granted, and the connections to close
// for it. IDs must be unique.
func (b *Budget) Open(now time.Time, id uint64, address netip.Prefix) (bool, []Eviction) {
	s := b.shares[address]
	if s == nil {
		s = &share{address: address}
		b.shares[address] = s
	}
	s.entries++
	e := &entry{id: id, share: s, progressAt: now}
	b.entries[id] = e
	granted, evictions := b.grant(now, e, amounts{connections: 1, memory: ConnectionBytes})
	if !granted {
		e.closed = true
		b.forget(e)
	}
	return granted, evictions
}

// Reserve asks for more bytes for a connection. It returns whether they were granted, and the
// connections to close for them. A connection that was told to close gets none.
func (b *Budget) Reserve(now time.Time, id uint64, bytes int64) (bool, []Eviction) {
	e := b.entries[id]
	if e == nil || e.closed || e.evicted {
		return false, nil
	}
	return b.grant(now, e, amounts{memory: bytes})
}

// Take counts bytes that a connection needs in any case, beyond the limits if there is too little.
// Others then get less. It reports false if the connection is not known any more.
func (b *Budget) Take(id uint64, bytes int64) bool {
	e := b.entries[id]
	if e != nil {
		b.take(e, amounts{memory: bytes}, 1)
	}
	return e != nil
}

// Release returns bytes that were granted to a connection.
func (b *Budget) Release(id uint64, bytes int64) {
	if e := b.entries[id]; e != nil {
		b.take(e, amounts{memory: bytes}, -1)
		b.forget(e)
	}
}

// Progress records that bytes of a head or body have arrived.
func (b *Budget) Progress(now time.Time, id uint64, bytes int64) {
	e := b.entries[id]
	if e == nil {
		return
	}
	e.progressAt = e.progressAt.Add(time.Duration(bytes) * time.Second / progressRate)
	if e.progressAt.After(now) {
		e.progressAt = now
	}
}

// Enter records the phase of a connection. It returns false if the connection was told to close
// before, and does not enter the phase then.
func (b *Budget) Enter(now time.Time, id uint64, phase Phase) bool {
	e := b.entries[id]
	if e == nil || e.evicted {
		return false
	}
	e.phase, e.progressAt = phase, now
	return true
}

// Close records that a connection has closed. Bytes that it still holds count until they are
// released.
func (b *Budget) Close(id uint64) {
	e := b.entries[id]
	if e == nil || e.closed {
		return
	}
	e.closed = true
	b.take(e, amounts{connections: 1, memory: ConnectionBytes}, -1)
	b.forget(e)
}

// Held returns the open connections and the bytes that are held.
func (b *Budget) Held() Limits {
	return Limits{Connections: b.held[connections], Memory: b.held[memory]}
}

// forget removes an entry that has closed and holds nothing.
func (b *Budget) forget(e *entry) {
	if !e.closed || e.held != (amounts{}) {
		return
	}
	delete(b.entries, e.id)
	if e.share.entries--; e.share.entries == 0 {
		delete(b.shares, e.share.address)
	}
}

// take adds the amounts to what the entry holds, or subtracts them if factor is -1.
func (b *Budget) take(e *entry, a amounts, factor int64) {
	e.held.add(a, factor)
	e.share.held.add(a, factor)
	b.held.add(a, factor)
	if e.evicted {
		b.closing.add(a, factor)
	}
}

// grant gives the amounts to the entry if there is enough of each resource, or if connections
// that can be closed make up for it.
func (b *Budget) grant(now time.Time, e *entry, want amounts) (bool, []Eviction) {
	var evictions []Eviction
	for r := range resources {
		if want[r] == 0 {
			continue
		}
		if !b.closingsFit(r, want[r]) {
			return false, evictions
		}
		if missing := b.missing(e, r, want[r]); missing > 0 {
			evictions = append(evictions, b.evict(now, e, r, want[r], missing)...)
		}
		if b.missing(e, r, want[r]) > 0 {
			return false, evictions
		}
	}
	b.take(e, want, 1)
	return true, evictions
}

// closingsFit reports whether the amount fits beside all that is held, including what
// connections hold that have been told to close.
func (b *Budget) closingsFit(r resource, want int64) bool {
	return b.held[r]+want <= b.limits[r]+int64(closingShare*float64(b.limits[r]))
}

// missing returns how much of the resource has to be freed for the entry to get the amount; 0 or
// less if it may have it now.
func (b *Budget) missing(e *entry, r resource, want int64) int64 {
	limit := b.limits[r]
	large := r == memory && e.held[memory]+want > smallBytes
	if large || e.share.held[r]+want > b.fairShare(r) {
		limit = int64(commonShare * float64(limit))
	}
	return b.held[r] - b.closing[r] + want - limit
}

// fairShare returns what each caller address may hold of the resource if all get the same, but
// at least what a connection with an ordinary request holds.
func (b *Budget) fairShare(r resource) int64 {
	least := amounts{connections: 1, memory: smallBytes}
	return max(b.limits[r]/int64(max(len(b.shares), 1)), least[r])
}
