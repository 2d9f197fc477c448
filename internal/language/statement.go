// Package language parses the query and command language of operators and
// callers. docs/LANGUAGE.md describes the grammar.
//
// All functions are safe for concurrent use. A Statement is plain data; nothing
// in this package runs one.
package language

import "github.com/alecthomas/participle/v2/lexer"

// Statement is one parsed statement; exactly one of its fields besides Pos is
// set.
type Statement struct {
	Pos lexer.Position

	Search          *Search          `parser:"(   @@"`
	Edit            *Edit            `parser:"| @@"`
	Transfer        *Transfer        `parser:"| @@"`
	Token           bool             `parser:"| @'TOKEN'"`
	Show            *Show            `parser:"| @@"`
	TakeOut         *TakeOut         `parser:"| @@"`
	BringBack       *BringBack       `parser:"| @@"`
	CreateFront     *CreateFront     `parser:"| @@"`
	AlterFront      *AlterFront      `parser:"| @@"`
	DropFront       *DropFront       `parser:"| @@"`
	PublishSnapshot *PublishSnapshot `parser:"| @@ )"`
}

// Search queries one front.
type Search struct {
	Front      Text         `parser:"'SEARCH' @(Ident | String)"`
	Conditions []*Condition `parser:"( 'WHERE' @@ ( 'AND' @@ )* )?"`
	TimeLimit  Milliseconds `parser:"( 'WITHIN' @Duration )?"`
	Coverage   Percent      `parser:"( 'COVERAGE' @Number '%' )?"`
	RowLimit   RowLimit     `parser:"( 'LIMIT' @Number )?"`
	Explain    bool         `parser:"@'EXPLAIN'?"`
}

// Condition compares a field with a value.
type Condition struct {
	Field    Text      `parser:"@(Ident | Keyword | String)"`
	Operator *Operator `parser:"@@"`
	Value    Value     `parser:"@(String | Date | Number)"`
}

// conditionList is the content of a WHERE clause.
type conditionList struct {
	Conditions []*Condition `parser:"@@ ( 'AND' @@ )*"`
}

// Operator is the comparison of a Condition; exactly one field is set.
type Operator struct {
	Equal    bool `parser:"(   @'='"`
	Less     bool `parser:"| @'<'"`
	Greater  bool `parser:"| @'>'"`
	Contains bool `parser:"| @'CONTAINS'"`
	// LikePrefix matches values that begin with the given text.
	LikePrefix bool `parser:"| 'LIKE' @'PREFIX' )"`
}

// ChangeIdentity is the token or the key that identifies a change, so that resubmitting the
// change does not run it twice; exactly one field is set.
type ChangeIdentity struct {
	Token Text `parser:"(   'TOKEN' @String"`
	Key   Text `parser:"| 'KEY' @String )"`
}

// Edit replaces fields of a record.
type Edit struct {
	Front       Text            `parser:"'EDIT' @(Ident | String)"`
	Record      Text            `parser:"'RECORD' @String"`
	Assignments []*Assignment   `parser:"'SET' @@ ( ',' @@ )*"`
	Identity    *ChangeIdentity `parser:"@@"`
	TimeLimit   Milliseconds    `parser:"( 'WITHIN' @Duration )?"`
}

// Assignment sets a field to a value.
type Assignment struct {
	Field Text  `parser:"@(Ident | Keyword | String) '='"`
	Value Value `parser:"@(String | Date | Number)"`
}

// Transfer transfers the title of a cask from one holder to another.
type Transfer struct {
	Front     Text            `parser:"'TRANSFER' @(Ident | String)"`
	Cask      Text            `parser:"'CASK' @String"`
	From      Text            `parser:"'FROM' @String"`
	To        Text            `parser:"'TO' @String"`
	Identity  *ChangeIdentity `parser:"@@"`
	TimeLimit Milliseconds    `parser:"( 'WITHIN' @Duration )?"`
}

// Show displays state; exactly one of its fields is set.
type Show struct {
	Fronts         bool               `parser:"'SHOW' (   @'FRONTS'"`
	Targets        *ShowTargets       `parser:"| @@"`
	FailureDomains bool               `parser:"| @'FAILURE' 'DOMAINS'"`
	Configuration  *ShowConfiguration `parser:"| @@"`
	History        *ShowHistory       `parser:"| @@"`
	Coverage       Text               `parser:"| 'COVERAGE' @(Ident | String)"`
	VMs            bool               `parser:"| @'VMS'"`
	Outcome        *ShowOutcome       `parser:"| @@ )"`
}

// ShowTargets lists the targets of one front, or of all fronts when Front is
// empty.
type ShowTargets struct {
	// Keyword carries the parser tag of the first keyword; its value is not used.
	Keyword string `parser:"@'TARGETS'"`
	Front   Text   `parser:"@(Ident | String)?"`
}

// ShowConfiguration displays a revision; zero selects the newest one.
type ShowConfiguration struct {
	// Keyword carries the parser tag of the first keyword; its value is not used.
	Keyword  string `parser:"@'CONFIGURATION'"`
	Revision uint64 `parser:"( 'REVISION' @Number )?"`
}

// ShowHistory lists accepted revisions; a zero limit selects the default.
type ShowHistory struct {
	// Keyword carries the parser tag of the first keyword; its value is not used.
	Keyword string   `parser:"@'HISTORY'"`
	Limit   RowLimit `parser:"( 'LIMIT' @Number )?"`
}

// ShowOutcome queries the outcome of a change by its token or key; exactly one of
// the two is set.
type ShowOutcome struct {
	// Keyword carries the parser tag of the first keyword; its value is not used.
	Keyword string `parser:"@'OUTCOME'"`
	Token   Text   `parser:"(   @String"`
	Key     Text   `parser:"| 'KEY' @String )"`
}

// ServingScope selects the failure domain or the target that a statement applies to; exactly
// one field is set.
type ServingScope struct {
	FailureDomain Text `parser:"(   'FAILURE' 'DOMAIN' @(Ident | String)"`
	Target        Text `parser:"| 'TARGET' @(Ident | String) )"`
}

// TakeOut takes a failure domain or a target out of service: it receives no new
// work.
type TakeOut struct {
	Scope *ServingScope `parser:"'TAKE' 'OUT' @@"`
	Force bool          `parser:"@'FORCE'?"`
}

// BringBack returns a failure domain or a target to service.
type BringBack struct {
	Scope *ServingScope `parser:"'BRING' 'BACK' @@"`
}
