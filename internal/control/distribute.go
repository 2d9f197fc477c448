package control

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// confirmInterval is the default of the longest wait of one watch: its end confirms that
	// the configuration is current, and a lost watch is noticed by then.
	confirmInterval = 500 * time.Millisecond
	// watchSpacing is the least time between the starts of two watches, so that
	// changes which come in a row are read together.
	watchSpacing = 250 * time.Millisecond
	// spacingShare is the part of a watch's longest wait that the spacing has at
	// least.
	spacingShare = 5
	// failureSpacing is the time between two tries while the platform is down.
	failureSpacing = 500 * time.Millisecond
	// startSpacing is the time between two readings by a VM that does not watch
	// and has no configuration.
	startSpacing = 2 * time.Second
	// staleAfter is the age at which a VM that does not watch reads by itself.
	staleAfter = 10 * time.Second
	// seldomLists times the interval is how often a VM that does not watch reads
	// the VM list.
	seldomLists = 12
	// aloneListSpacing is the time between two readings of the list by a VM that
	// knows no live VM: the others may have announced themselves since.
	aloneListSpacing = 5 * time.Second
	// fanOut is the number of VMs that one VM hands a revision to.
	fanOut = 4
	// maxHops bounds how often a revision is handed on.
	maxHops = 8
)

// callPlatform decides which calls to the platform are due.
func (m *machine) callPlatform() {
	if !m.list.running && !m.now.Before(m.list.nextAt) {
		m.list.running = true
		m.list.sentAt = m.now
		m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_ReadList{ReadList: &pb.ReadVmList{}}})
	}
	if m.watch.running || m.now.Before(m.watch.nextAt) {
		return
	}
	if m.watches() {
		m.watchStore(m.config.watchWait)
		return
	}
	if m.configuration == nil || m.age() > staleAfter {
		m.watchStore(0)
	}
}

func (m *machine) watchStore(wait time.Duration) {
	m.watch.running = true
	m.watch.sentAt = m.now
	m.stats.storeCalls++
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_WatchStore{WatchStore: &pb.WatchStore{
		AfterVersion: m.storeVersion, WaitMs: uint32(wait.Milliseconds()),
	}}})
}

// watches reports whether this VM is one of the watchers of its failure domain,
// which are chosen by rendezvous over its live VMs. A leaving VM watches only
// when no other VM of its failure domain is left to do so.
func (m *machine) watches() bool {
	if version := m.table.Version(); m.watcherKnownAt != version {
		m.watcherKnownAt = version
		m.watcher = m.chosenToWatch()
	}
	return m.watcher
}

func (m *machine) chosenToWatch() bool {
	vms := m.table.OwnDomain()
	if len(vms) == 0 {
		return true
	}
	sortByHash(vms, "watch")
	position := slices.Index(vms, m.vm)
	return position >= 0 && position < m.config.watchers
}

// sortByHash orders VMs by a hash of the key and their names.
func sortByHash(vms []string, key string) {
	hash := func(i int) uint64 { return xxhash.Sum64String(key + "\x00" + vms[i]) }
	sort.SliceStable(vms, func(i, j int) bool { return hash(i) < hash(j) })
}

func (m *machine) listRead(read *pb.VmListRead) {
	m.list.running = false
	if read.Failed {
		m.list.nextAt = m.now.Add(failureSpacing)
		return
	}
	m.list.okAt = m.list.sentAt
	m.list.nextAt = m.now.Add(m.listSpacing())
	self := m.vm
	m.listNamesSelf = slices.ContainsFunc(read.Vms, func(vm *pb.ListedVm) bool { return vm.GetVm() == self })
	m.table.List(read.Vms, m.now)
	for vm := range m.revisions {
		if m.table.Address(vm) == "" {
			delete(m.revisions, vm)
		}
	}
}

// listSpacing is the time until the list is read again. VMs that do not watch
// hear of new VMs from the others and read it seldom.
func (m *machine) listSpacing() time.Duration {
	anywhere, _ := m.table.HasLivePeer()
	switch {
	case !anywhere:
		return min(aloneListSpacing, m.config.listInterval)
	case !m.watches():
		return seldomLists * m.config.listInterval
	default:
		return m.config.listInterval
	}
}

func (m *machine) storeRead(read *pb.StoreRead) {
	m.watch.running = false
	m.storeError = read.Error
	sentAt := m.at(read.SentOffsetUs)
	if read.Failed {
		m.stats.storeFailures++
		m.watch.nextAt = m.now.Add(failureSpacing)
		return
	}
	m.watch.okAt = sentAt
	m.watch.nextAt = sentAt.Add(max(watchSpacing, m.config.watchWait/spacingShare))
	if !m.watches() {
		m.watch.nextAt = m.now.Add(m.ownReadSpacing())
	}
	if read.Configuration != nil {
		m.adopt(read.Configuration, "", 0)
		if read.Configuration.Revision < m.revision() {
			// A store that went back is never followed.
			return
		}
		m.storeVersion = read.Version
	}
	m.confirm(sentAt)
}

func (m *machine) ownReadSpacing() time.Duration {
	if m.configuration == nil {
		return startSpacing
	}
	return staleAfter
}

func (m *machine) deltaReceived(received *pb.DeltaReceived) {
	if received.Fetched && received.From == m.fetching {
		m.fetching = ""
	}
	if received.Delta == nil {
		return
	}
	next, newer, err := configuration.ApplyDelta(m.configuration, received.Delta)
	if err != nil {
		m.stats.deltasRefused++
		m.fetchWhole = received.Fetched
		if !received.Fetched {
			m.noteRevision(received.From, received.Delta.Revision)
		}
		return
	}
	m.fetchWhole = false
	if newer {
		m.adopt(next, received.From, received.HopsLeft)
	}
}

// adopt puts a newer revision in force and hands it on; from is empty when it
// does not come from a peer. Any other revision changes nothing.
func (m *machine) adopt(next *pb.Configuration, from string, hopsLeft uint32) {
	if next.GetRevision() <= m.revision() {
		return
	}
	base := m.revision()
	m.configuration = next
	m.stats.adopted++
	self := m.table.Self()
	fromOwn := from != "" && m.table.FailureDomain(from) == self.FailureDomain
	hops := uint32(maxHops)
	if fromOwn {
		hops = hopsLeft
	}
	if hops > 0 {
		m.handOn(base, hops-1, fromOwn)
	}
}

// handOn offers the revision along a tree over the own failure domain's VMs,
// which is the same on all of them and differs by revision. A VM that did not
// get it from its own failure domain also offers it to the tree's root.
func (m *machine) handOn(base uint64, hopsLeft uint32, fromOwn bool) {
	self := m.vm
	vms := m.table.OwnDomain()
	sortByHash(vms, strconv.FormatUint(m.revision(), 10))
	position := slices.Index(vms, self)
	var receivers []string
	if !fromOwn && len(vms) > 0 {
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
