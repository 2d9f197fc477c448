package language

// CreateFront adds a front to the configuration.
type CreateFront struct {
	Front     Text                 `parser:"'CREATE' 'FRONT' @(Ident | String)"`
	TimeLimit Milliseconds         `parser:"( 'TIME' 'LIMIT' @Duration )?"`
	RowLimit  RowLimit             `parser:"( 'ROW' 'LIMIT' @Number )?"`
	ExtraLoad *Percent             `parser:"( 'EXTRA' 'LOAD' @Number '%' )?"`
	Services  []*ServiceDefinition `parser:"@@+"`
	Comment   Text                 `parser:"( 'COMMENT' @String )?"`
	Force     bool                 `parser:"@'FORCE'?"`
}

// ServiceDefinition declares a service with its partitions and targets. In CREATE FRONT, a
// service that lists no partitions has a single one with the service's name. In ALTER
// FRONT, it must list none: its partitions are published with the next snapshot.
type ServiceDefinition struct {
	Name       Text                `parser:"'SERVICE' @(Ident | String)"`
	Partitions []Text              `parser:"( 'PARTITIONS' @(Ident | String) ( ',' @(Ident | String) )* )?"`
	Targets    []*TargetDefinition `parser:"@@+"`
}

// TargetDefinition declares a target; zero values select the defaults.
type TargetDefinition struct {
	ID            Text         `parser:"'TARGET' @(Ident | String)"`
	Address       Text         `parser:"'AT' @String"`
	FailureDomain Text         `parser:"'IN' @(Ident | String)"`
	Slots         uint32       `parser:"( 'SLOTS' @Number )?"`
	Connections   uint32       `parser:"( 'CONNECTIONS' @Number )?"`
	Setup         Milliseconds `parser:"( 'SETUP' @Duration )?"`
	ColdLimit     uint32       `parser:"( 'COLD' @Number )?"`
}

// AlterFront changes a front.
type AlterFront struct {
	Front   Text          `parser:"'ALTER' 'FRONT' @(Ident | String)"`
	Actions []*Alteration `parser:"@@ ( ',' @@ )*"`
	Comment Text          `parser:"( 'COMMENT' @String )?"`
	Force   bool          `parser:"@'FORCE'?"`
}

// Alteration is one change of a front; exactly one field is set.
type Alteration struct {
	Set  *SetLimit `parser:"(   'SET' @@"`
	Add  *Addition `parser:"| 'ADD' @@"`
	Drop *Removal  `parser:"| 'DROP' @@ )"`
}

// SetLimit replaces one limit of a front; exactly one field is set.
type SetLimit struct {
	TimeLimit Milliseconds `parser:"(   'TIME' 'LIMIT' @Duration"`
	RowLimit  RowLimit     `parser:"| 'ROW' 'LIMIT' @Number"`
	ExtraLoad *Percent     `parser:"| 'EXTRA' 'LOAD' @Number '%' )"`
}

// Addition adds a service, or a target to a service.
type Addition struct {
	Service *ServiceDefinition `parser:"(   @@"`
	Target  *TargetDefinition  `parser:"| @@"`
	// ToService is the service that Target is added to.
	ToService Text `parser:"'TO' @(Ident | String) )"`
}

// Removal removes a service or a target; exactly one field is set.
type Removal struct {
	Service Text `parser:"(   'SERVICE' @(Ident | String)"`
	Target  Text `parser:"| 'TARGET' @(Ident | String) )"`
}

// DropFront removes a front.
type DropFront struct {
	Front   Text `parser:"'DROP' 'FRONT' @(Ident | String)"`
	Comment Text `parser:"( 'COMMENT' @String )?"`
	Force   bool `parser:"@'FORCE'?"`
}

// PublishSnapshot publishes an index version of a front. Services that are not
// listed keep the partitions that they have in the newest snapshot.
type PublishSnapshot struct {
	Version  uint64               `parser:"'PUBLISH' 'SNAPSHOT' @Number"`
	Front    Text                 `parser:"'ON' @(Ident | String)"`
	Services []*ServicePartitions `parser:"@@*"`
	// Keep is the number of snapshots to keep; zero selects the default.
	Keep    uint32 `parser:"( 'KEEP' @Number )?"`
	Comment Text   `parser:"( 'COMMENT' @String )?"`
	Force   bool   `parser:"@'FORCE'?"`
}

// ServicePartitions lists the partitions of a service in a snapshot.
type ServicePartitions struct {
	Service    Text   `parser:"'SERVICE' @(Ident | String)"`
	Partitions []Text `parser:"'PARTITIONS' @(Ident | String) ( ',' @(Ident | String) )*"`
}
