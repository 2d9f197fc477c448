package profile

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// initialRecords is the number of records of a service at content version 0;
	// each content version adds recordsPerVersion.
	initialRecords    = 60
	recordsPerVersion = 4
	// On average, one in remarkChangeOdds records has its remark changed in a
	// content version.
	remarkChangeOdds = 4
)

// partitionNames returns the partition names in a snapshot version. They are the
// same for every service.
func partitionNames(version uint64) []string {
	var names []string
	for i := range partitionsPerService {
		name := "p" + strconv.Itoa(i)
		if isSplit(i, version) {
			names = append(names, name+"a", name+"b")
			continue
		}
		names = append(names, name)
	}
	return names
}

func isSplit(partition int, version uint64) bool {
	return version >= SplitVersion && partition%2 == 0
}

// partitionOf returns the name of the partition that holds the record with the
// given number in a snapshot version.
func partitionOf(number int, version uint64) string {
	partition := number % partitionsPerService
	name := "p" + strconv.Itoa(partition)
	if !isSplit(partition, version) {
		return name
	}
	if number/partitionsPerService%2 == 0 {
		return name + "a"
	}
	return name + "b"
}

// contentVersion returns the version of the record contents in a snapshot version.
// The split changes only the partition map, so SplitVersion has the contents of the
// version before it, and all later versions are shifted by one.
func contentVersion(version uint64) uint64 {
	if version >= SplitVersion {
		return version - 1
	}
	return version
}

// Rows returns the records of one partition in a snapshot version in ascending
// order of their numbers. It returns nil if the front, service or partition does
// not exist.
func (p *Profile) Rows(front, service, partition string, version uint64) []*pb.Row {
	if !p.hasService(front, service) {
		return nil
	}
	kind, _ := p.Kind(front)
	var rows []*pb.Row
	for number := range recordCount(version) {
		if partitionOf(number, version) != partition {
			continue
		}
		rows = append(rows, &pb.Row{
			RecordId:  RecordID(service, number),
			Service:   service,
			Partition: partition,
			Snapshot:  version,
			Fields:    p.fields(kind, front, service, number, version),
		})
	}
	return rows
}

// RecordID returns the ID of the service's record with that number.
func RecordID(service string, number int) string {
	return fmt.Sprintf("%s:%d", service, number)
}

// Record returns a record as of a snapshot version. It returns false if the record
// does not exist.
func (p *Profile) Record(front, recordID string, version uint64) (*pb.Row, bool) {
	service, suffix, found := strings.Cut(recordID, ":")
	number, err := strconv.Atoi(suffix)
	if !found || err != nil || number < 0 || number >= recordCount(version) || !p.hasService(front, service) {
		return nil, false
	}
	for _, row := range p.Rows(front, service, partitionOf(number, version), version) {
		if row.RecordId == recordID {
			return row, true
		}
	}
	return nil, false
}

// Search returns the expected result of a search over the snapshot's partitions
// without a row limit, in ascending order of service, partition and record number.
// The snapshot may contain only a subset of the services and partitions.
func (p *Profile) Search(front string, snapshot *pb.Snapshot, conditions []*pb.Condition) []*pb.Row {
	var rows []*pb.Row
	for _, service := range snapshot.GetServices() {
		for _, partition := range service.Partitions {
			rows = append(rows, Filter(p.Rows(front, service.Service, partition, snapshot.Version), conditions)...)
		}
	}
	slices.SortStableFunc(rows, func(a, b *pb.Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Partition, b.Partition))
	})
	return rows
}

func (p *Profile) hasService(front, service string) bool {
	spec, ok := p.frontSpec(front)
	if !ok {
		return false
	}
	for i := range spec.services {
		if serviceName(spec, i) == service {
			return true
		}
	}
	return false
}

func recordCount(version uint64) int {
	return initialRecords + recordsPerVersion*int(contentVersion(version))
}

// picker derives the field values of one record from a hash of its key, so that
// equal keys give equal values.
type picker struct {
	key string
}

func (k picker) number(name string, limit uint64) uint64 {
	return xxhash.Sum64String(k.key+"/"+name) % limit
}

func (k picker) word(name string, words []string) string {
	return words[k.number(name, uint64(len(words)))]
}

func (k picker) date(name string, firstYear, years uint64) string {
	const (
		months = 12
		days   = 28
	)
	return fmt.Sprintf("%04d-%02d-%02d",
		firstYear+k.number(name+".year", years),
		1+k.number(name+".month", months),
		1+k.number(name+".day", days))
}

func (p *Profile) fields(kind Kind, front, service string, number int, version uint64) []*pb.Field {
	pick := picker{key: fmt.Sprintf("%d/%s/%s/%d", p.Seed, front, service, number)}
	remark := strconv.FormatUint(remarkVersion(pick, contentVersion(version)), 10)
	if kind == Casks {
		return caskFields(pick, remark)
	}
	return personFields(pick, remark)
}

// remarkVersion returns the newest content version, at most version, in which
// the record's remark changed.
func remarkVersion(pick picker, version uint64) uint64 {
	for v := version; v > 0; v-- {
		if pick.number("changed."+strconv.FormatUint(v, 10), remarkChangeOdds) == 0 {
			return v
		}
	}
	return 0
}

func personFields(pick picker, remark string) []*pb.Field {
	const (
		firstYear = 1640
		years     = 260
	)
	return []*pb.Field{
		{Name: "name", Value: pick.word("surname", surnames)},
		{Name: "given", Value: pick.word("given", givenNames)},
		{Name: "parish", Value: pick.word("parish", parishes)},
		{Name: "date", Value: pick.date("date", firstYear, years)},
		{Name: "event", Value: pick.word("event", events)},
		{Name: "remark", Value: "transcription " + remark},
	}
}

func caskFields(pick picker, remark string) []*pb.Field {
	const (
		firstYear   = 2006
		years       = 19
		minLitres   = 120
		litresRange = 380
	)
	return []*pb.Field{
		{Name: "distillery", Value: pick.word("distillery", distilleries)},
		{Name: "warehouse", Value: pick.word("warehouse", warehouses)},
		{Name: "holder", Value: pick.word("holder", holders)},
		{Name: "filled", Value: pick.date("filled", firstYear, years)},
		{Name: "litres", Value: strconv.FormatUint(minLitres+pick.number("litres", litresRange), 10)},
		{Name: "remark", Value: "gauging " + remark},
	}
}
