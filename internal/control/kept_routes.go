package control

import (
	"github.com/carawayreel/carawayreel/internal/configuration"
	"github.com/carawayreel/carawayreel/internal/era"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// keptRoutes identifies this VM's route table if it was kept from an earlier era of the store than that of the
// revision in force. Until the operator writes again, VMs that started meanwhile may know only the older table of
// the store's copy, at the same revision.
func (m *machine) keptRoutes() *pb.KeptRoutes {
	table := m.configuration.GetRouteTable()
	if table == nil || era.Of(table.Revision) == era.Of(m.revision()) {
		return nil
	}
	return &pb.KeptRoutes{Version: table.Version, Revision: table.Revision}
}

// fetchKeptRoutes fetches the configuration of a VM that kept a route table which is newer than this VM's.
func (m *machine) fetchKeptRoutes(vm string, kept *pb.KeptRoutes) {
	if kept == nil || !configuration.NewerRouteTable(m.configuration.GetRouteTable(), &pb.RouteTable{Version: kept.Version, Revision: kept.Revision}) {
		return
	}
	m.fetch(vm, 0)
}

// takeRoutes takes over the route table of a delta whose revision is not newer than the one in force, if the table
// is newer than this VM's.
func (m *machine) takeRoutes(delta *pb.ConfigurationDelta) {
	table := delta.GetRouteTable()
	if m.configuration.GetRouteTable() == nil || !configuration.NewerRouteTable(m.configuration.RouteTable, table) {
		return
	}
	m.configuration = configuration.WithRouteTable(m.configuration, table)
	m.stats.routesTaken++
}
