package control

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// confirmInterval is the default maximum wait of one watch. The end of a watch confirms that the
	// configuration is current, and a lost watch is detected by then.
	confirmInterval = 500 * time.Millisecond
	// minWatchInterval is the minimum time between the starts of two watches, so that changes in quick
	// succession are read together.
	minWatchInterval = 250 * time.Millisecond
	// watchIntervalDivisor gives a second lower bound for the time between the starts of two watches: the
	// maximum wait divided by it.
	watchIntervalDivisor = 5
	// platformRetryDelay is the time between two attempts while the platform is down.
	platformRetryDelay = 500 * time.Millisecond
	// initialReadInterval is the time between two store reads by a VM that is not a watcher and has no
	// configuration.
	initialReadInterval = 2 * time.Second
	// staleAfter is the age of the configuration at which a VM that is not a watcher reads the store
	// itself.
	staleAfter = 10 * time.Second
	// transferPatience is the time for which a VM waits for a newer revision to arrive from other VMs
	// before it reads the store itself, and transferStagger the longest additional time. A transfer
	// usually takes a few milliseconds.
	transferPatience = 750 * time.Millisecond
	transferStagger  = 500 * time.Millisecond
	// overdueReadInterval is the minimum time between two such reads.
	overdueReadInterval = 2 * time.Second
	// nonWatcherListFactor multiplies the list interval for VMs that are not watchers.
	nonWatcherListFactor = 12
	// isolatedListInterval is the maximum time between two list reads by a VM that knows no live VM: others
	// may have registered since.
	isolatedListInterval = 5 * time.Second
	// firstListDelay is the time in which a VM that reads the list seldom finds the others through its seeds.
	// Only if it has found none by then, it reads the list.
	firstListDelay = time.Second
	// fanOut is the number of VMs that each VM forwards a revision to.
	fanOut = 4
	// maxHops limits how many times a revision is forwarded.
	maxHops = 8
)

// callPlatform starts the platform calls that are due.
func (m *machine) callPlatform() {
	if !m.list.running && !m.now.Before(m.list.nextAt) && !m.deferFirstList() {
		m.list.running = true
		m.list.sentAt = m.now
		m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_ReadList{ReadList: &pb.ReadVmList{}}})
	}
	m.checkOrder()
	m.checkStandby()
	if m.watch.running {
		return
	}
	if m.transferOverdue() {
		m.stats.overdueReads++
		m.watchStore(0)
		return
	}
	if m.now.Before(m.watch.nextAt) {
		return
	}
	if m.watches() {
		m.watchStore(m.nextWatchWait())
		return
	}
	if m.configuration == nil || m.configurationAge() > staleAfter {
		m.watchStore(0)
	}
}

// transferOverdue reports whether this VM, which is not a watcher, knows that there is a newer revision,
// does not get it from other VMs, and must read the store itself.
func (m *machine) transferOverdue() bool {
	if m.behindSince.IsZero() || m.watches() || m.now.Sub(m.watch.sentAt) < overdueReadInterval {
		return false
	}
	// VMs that miss the same revision read the store one after the other.
	const steps = 1 << 10
	step := xxhash.Sum64String(m.vm) % steps
	return m.now.Sub(m.behindSince) >= transferPatience+transferStagger*time.Duration(step)/steps
}

// handleFetchFailed ends a fetch. What is too large for a message is not waited for.
func (m *machine) handleFetchFailed(failed *pb.FetchFailed) {
	if failed.Vm != m.fetchingFrom {
		return
	}
	m.fetchingFrom = ""
	if failed.TooLarge && !m.behindSince.IsZero() {
		m.behindSince = earlier(m.behindSince, m.now.Add(-transferPatience))
	}
}

// deferFirstList defers the first reading of the list if this VM reads it seldom and has seeds, and reports
// whether it is not due yet. Once the seeds have named other VMs, it is not needed.
func (m *machine) deferFirstList() bool {
	if len(m.config.seeds) == 0 || m.config.listInterval <= isolatedListInterval || !m.list.nextAt.IsZero() {
		return false
	}
	if hasPeer, _ := m.table.HasLivePeer(); hasPeer {
		m.list.nextAt = m.now.Add(m.nextListDelay())
	}
	return m.now.Sub(m.start) < firstListDelay
}

func (m *machine) watchStore(wait time.Duration) {
	m.watch.running = true
	m.watch.sentAt = m.now
	m.stats.storeCalls++
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_WatchStore{WatchStore: &pb.WatchStore{
		AfterVersion: m.storeVersion, WaitMs: uint32(wait.Milliseconds()),
	}}})
}

// sortByHash sorts VMs by a hash of key and VM name.
func sortByHash(vms []string, key string) {
	hash := func(i int) uint64 { return xxhash.Sum64String(key + "\x00" + vms[i]) }
	sort.SliceStable(vms, func(i, j int) bool { return hash(i) < hash(j) })
}

func (m *machine) handleListRead(read *pb.VmListRead) {
	m.list.running = false
	if read.Failed {
		m.list.nextAt = m.now.Add(platformRetryDelay)
		return
	}
	m.list.succeededAt = m.list.sentAt
	m.list.nextAt = m.now.Add(m.nextListDelay())
	self := m.vm
	m.listedSelf = slices.ContainsFunc(read.Vms, func(vm *pb.ListedVm) bool { return vm.GetVm() == self })
	m.table.MergeList(read.Vms, m.now)
	for vm := range m.revisions {
		if m.table.Address(vm) == "" {
			delete(m.revisions, vm)
		}
	}
}

// nextListDelay returns the time until the next list read. VMs that are not watchers learn of new VMs from
// the others and read the list less often.
func (m *machine) nextListDelay() time.Duration {
	hasPeer, _ := m.table.HasLivePeer()
	switch {
	case !hasPeer:
		return min(isolatedListInterval, m.config.listInterval)
	case !m.isWatcher():
		return nonWatcherListFactor * m.config.listInterval
	default:
		return m.config.listInterval
	}
}

func (m *machine) handleStoreRead(read *pb.StoreRead) {
	m.watch.running = false
	m.storeError = read.Error
	sentAt := m.timeAt(read.SentOffsetUs)
	if read.Failed {
		m.stats.storeFailures++
		m.watch.failedAt = m.now
		m.watch.nextAt = m.now.Add(m.readRetryDelay())
		return
	}
	m.watch.succeededAt = sentAt
	m.watch.answeredAt = m.now
	m.watch.nextAt = sentAt.Add(m.watchInterval())
	if !m.watches() {
		m.watch.nextAt = m.now.Add(m.readInterval())
	}
	if read.Configuration != nil {
		m.adopt(read.Configuration, "", 0, time.Time{})
		if read.Configuration.Revision < m.revision() {
			// A store that reverted to an older revision must not confirm the configuration in force.
			return
		}
		m.storeVersion = read.Version
	}
	confirmedAt := sentAt
	if read.ConfirmedOffsetUs > read.SentOffsetUs {
		confirmedAt = m.timeAt(read.ConfirmedOffsetUs)
	}
	m.confirm(confirmedAt)
}

// readRetryDelay returns the time until a store read that failed is repeated. A VM on which nothing depends
// does not add to the load of a store that is down.
func (m *machine) readRetryDelay() time.Duration {
	switch {
	case m.isWatcher() || m.configuration == nil || m.config.standbys == 0:
		return platformRetryDelay
	case m.watches():
		return m.config.watchWait
	default:
		return staleAfter
	}
}

// watchInterval returns the time between the starts of two watches. If watches may wait for longer than
// confirmInterval, it differs from one VM and one version to the next: while the store changes often, the
// watchers of all failure domains then read it at different times and pass on what they read, rather than all
// reading the same.
func (m *machine) watchInterval() time.Duration {
	shortest := max(minWatchInterval, m.config.watchWait/watchIntervalDivisor)
	const steps = 1 << 10
	step := xxhash.Sum64String(m.vm+"\x00"+strconv.FormatUint(m.storeVersion, 36)) % steps
	return shortest + max(m.config.watchWait-confirmInterval, 0)*time.Duration(step)/steps
}

func (m *machine) readInterval() time.Duration {
	if m.configuration == nil {
		return initialReadInterval
	}
	return staleAfter
}

func (m *machine) handleDeltaReceived(received *pb.DeltaReceived) {
	if received.Fetched && received.From == m.fetchingFrom {
		m.fetchingFrom = ""
	}
	if received.Delta == nil {
		return
	}
	next, newer, err := configuration.ApplyDelta(m.configuration, received.Delta)
	if err != nil {
		m.stats.deltasRefused++
		m.fetchFull = received.Fetched
		if !received.Fetched {
			m.recordRevision(received.From, received.Delta.Revision)
		}
		return
	}
	m.fetchFull = false
	if newer {
		var inForceAt time.Time
		if known := received.Delta.ReplacedRevision; known > 0 && known <= m.revision() {
			inForceAt = m.timeAt(received.ReplacedOffsetUs)
		}
		m.adopt(next, received.From, received.HopsLeft, inForceAt)
		return
	}
	m.takeRoutes(received.Delta)
}

// adopt puts a newer revision in force and forwards it. from is the sending VM, or empty if the revision
// does not come from a peer. inForceAt is when the sender last knew the replaced revision to be in force; it may
// be zero. A revision that is not newer is ignored. A route table that the next revision took from an older copy
// of the store does not replace the one in force.
func (m *machine) adopt(next *pb.Configuration, from string, hopsLeft uint32, inForceAt time.Time) {
	if next.GetRevision() <= m.revision() {
		return
	}
	base := m.revision()
	m.recordReplaced(inForceAt)
	kept := configuration.KeepNewerRouteTable(m.configuration, next)
	if kept != next {
		m.stats.routesKept++
	}
	m.configuration = kept
	m.behindSince = time.Time{}
	m.stats.adopted++
	self := m.table.Self()
	fromOwnDomain := from != "" && m.table.FailureDomain(from) == self.FailureDomain
	hops := uint32(maxHops)
	if fromOwnDomain {
		hops = hopsLeft
	}
	if hops > 0 {
		m.forward(base, hops-1, fromOwnDomain)
	}
}

// maxReplaced is the number of replaced revisions that are remembered. It exceeds those that a VM adopts before
// its routes are compiled.
const maxReplaced = 64

// recordReplaced records when the revision that is being replaced was last in force, as far as is known. While
// this VM did not reach the store, the store may have been down, and what it dropped then counts from its return.
func (m *machine) recordReplaced(inForceAt time.Time) {
	if m.revision() == 0 {
		return
	}
	at := earlier(later(later(m.confirmedAt, m.watch.failedAt), inForceAt), m.now)
	replaced := append(slices.Clone(m.replaced), view.Replaced{Revision: m.revision(), InForceAt: at})
	m.replaced = replaced[max(len(replaced)-maxReplaced, 0):]
}

// forward offers the revision along a tree over the VMs of this VM's failure domain that may own targets. The
// tree is the same on all of them and differs by revision. A VM that did not receive the revision from its
// own failure domain also offers it to the root of the tree.
func (m *machine) forward(base uint64, hopsLeft uint32, fromOwnDomain bool) {
	self := m.vm
	vms := m.table.OwnerCandidates()
	sortByHash(vms, strconv.FormatUint(m.revision(), 10))
	position := slices.Index(vms, self)
	var receivers []string
	if !fromOwnDomain && len(vms) > 0 {
		receivers = append(receivers, vms[0])
	}
	if position >= 0 {
		first := min(position*fanOut+1, len(vms))
		receivers = append(receivers, vms[first:min(first+fanOut, len(vms))]...)
	}
	for i, vm := range receivers {
		if vm != self && !slices.Contains(receivers[:i], vm) {
			m.offer(vm, base, hopsLeft)
		}
	}
}

func (m *machine) offer(vm string, base uint64, hopsLeft uint32) {
	known, ok := m.revisions[vm]
	if ok && known >= m.revision() {
		return
	}
	if ok {
		base = known
	}
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_Offer{Offer: &pb.OfferTo{
		Vm: vm, Address: m.table.Address(vm), BaseRevision: base, HopsLeft: hopsLeft,
	}}})
}
