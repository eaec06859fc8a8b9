package models

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrBadValue is returned by the Check methods for a value out of range.
var ErrBadValue = errors.New("bad value")

// Limits of declared values.
const (
	MaxMembers  = 64
	MaxReplicas = 4096
	MaxShare    = 1000
	MaxWeight   = 1000
)

// Place limits where something may run. An empty list allows every zone or
// fabric domain.
type Place struct {
	Zones   []Zone   `msgpack:"z" json:"zones,omitempty"`
	Domains []Domain `msgpack:"d" json:"domains,omitempty"`
}

// Allows reports whether the place rule admits the zone and fabric domain.
//
// See Example_place.
func (p Place) Allows(z Zone, d Domain) bool {
	return (len(p.Zones) == 0 || slices.Contains(p.Zones, z)) &&
		(len(p.Domains) == 0 || slices.Contains(p.Domains, d))
}

// Model declares a model: which version serves, on groups of how many
// instances, how many groups are wanted and where they may stand.
type Model struct {
	Name     ModelName `msgpack:"n" json:"name"`
	Version  Version   `msgpack:"v" json:"version"`
	Members  int       `msgpack:"m" json:"members"`
	Replicas int       `msgpack:"r" json:"replicas"`
	Place    Place     `msgpack:"p" json:"place"`
	Revision Revision  `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadName or ErrBadValue for a model that can't be served.
func (m Model) Check() error {
	if err := errors.Join(CheckName(m.Name), CheckName(m.Version), m.Place.check()); err != nil {
		return err
	}
	if m.Members < 1 || m.Members > MaxMembers {
		return fmt.Errorf("%w: members is %d, allowed are 1 to %d", ErrBadValue, m.Members, MaxMembers)
	}
	if m.Replicas < 0 || m.Replicas > MaxReplicas {
		return fmt.Errorf("%w: replicas is %d, allowed are 0 to %d", ErrBadValue, m.Replicas, MaxReplicas)
	}
	return nil
}

func (p Place) check() error {
	for _, z := range p.Zones {
		if err := CheckName(z); err != nil {
			return fmt.Errorf("zone: %w", err)
		}
	}
	for _, d := range p.Domains {
		if err := CheckName(d); err != nil {
			return fmt.Errorf("fabric domain: %w", err)
		}
	}
	return nil
}

// Service declares a plain service and where its instances may be used.
type Service struct {
	Name     ServiceName `msgpack:"n" json:"name"`
	Place    Place       `msgpack:"p" json:"place"`
	Revision Revision    `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadName for a service whose names can't be used.
func (s Service) Check() error {
	return errors.Join(CheckName(s.Name), s.Place.check())
}

// ModelRule names a model that a workspace may use. An empty version
// allows whichever version the model declares.
type ModelRule struct {
	Model   ModelName `msgpack:"m" json:"model"`
	Version Version   `msgpack:"v" json:"version,omitempty"`
}

// String writes the rule as operators do: brief or brief@v2.
func (r ModelRule) String() string {
	if r.Version == "" {
		return string(r.Model)
	}
	return string(r.Model) + "@" + string(r.Version)
}

// ParseModelRule reads what ModelRule.String writes.
func ParseModelRule(s string) (ModelRule, error) {
	name, version, pinned := strings.Cut(s, "@")
	rule := ModelRule{Model: ModelName(name), Version: Version(version)}
	if err := CheckName(rule.Model); err != nil {
		return ModelRule{}, err
	}
	if pinned {
		return rule, CheckName(rule.Version)
	}
	return rule, nil
}

// Workspace declares who may call what, where it may run, and its share of
// what there is.
type Workspace struct {
	Name     WorkspaceName `msgpack:"n" json:"name"`
	Models   []ModelRule   `msgpack:"m" json:"models,omitempty"`
	Services []ServiceName `msgpack:"s" json:"services,omitempty"`
	Place    Place         `msgpack:"p" json:"place"`
	// Share is the workspace's weight against the others under load.
	Share int `msgpack:"w" json:"share"`
	// Concurrent caps requests in flight over all daemons; 0 sets no cap.
	Concurrent int `msgpack:"c" json:"concurrent,omitempty"`
	// Tokens are SHA-256 hashes, in hex, of the tokens callers present.
	Tokens   []string `msgpack:"t" json:"tokens,omitempty"`
	Revision Revision `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadName or ErrBadValue for an unusable workspace.
func (w Workspace) Check() error {
	if err := errors.Join(CheckName(w.Name), w.Place.check()); err != nil {
		return err
	}
	for _, r := range w.Models {
		if _, err := ParseModelRule(r.String()); err != nil {
			return err
		}
	}
	for _, s := range w.Services {
		if err := CheckName(s); err != nil {
			return err
		}
	}
	if w.Share < 1 || w.Share > MaxShare {
		return fmt.Errorf("%w: share is %d, allowed are 1 to %d", ErrBadValue, w.Share, MaxShare)
	}
	if w.Concurrent < 0 {
		return fmt.Errorf("%w: concurrent is %d, less than 0", ErrBadValue, w.Concurrent)
	}
	return checkTokenHashes(w.Tokens)
}

// AllowsModel reports whether the workspace may use this version.
func (w Workspace) AllowsModel(m ModelName, v Version) bool {
	return slices.ContainsFunc(w.Models, func(r ModelRule) bool {
		return r.Model == m && (r.Version == "" || r.Version == v)
	})
}

// Right is what an operator may do.
type Right string

// The rights of operators; each includes the one before.
const (
	RightAsk    Right = "ask"
	RightChange Right = "change"
)

// Operator declares somebody who may ask or change.
type Operator struct {
	Name     OperatorName `msgpack:"n" json:"name"`
	Right    Right        `msgpack:"r" json:"right"`
	Tokens   []string     `msgpack:"t" json:"tokens,omitempty"`
	Revision Revision     `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadName or ErrBadValue for an unusable operator.
func (o Operator) Check() error {
	if err := CheckName(o.Name); err != nil {
		return err
	}
	if o.Right != RightAsk && o.Right != RightChange {
		return fmt.Errorf("%w: right is %q, allowed are ask and change", ErrBadValue, o.Right)
	}
	return checkTokenHashes(o.Tokens)
}

const tokenHashDigits = 64

func checkTokenHashes(hashes []string) error {
	for _, h := range hashes {
		if len(h) != tokenHashDigits || strings.Trim(h, "0123456789abcdef") != "" {
			return fmt.Errorf("%w: a token is given by the %d hex digits of its SHA-256 hash", ErrBadValue, tokenHashDigits)
		}
	}
	return nil
}

// Policy holds the operators' weights between the two measures.
type Policy struct {
	// Downtime and Stranded weigh a second of group downtime against a
	// second of one stranded accelerator.
	Downtime int      `msgpack:"d" json:"downtime"`
	Stranded int      `msgpack:"s" json:"stranded"`
	Revision Revision `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadValue for weights out of range.
func (p Policy) Check() error {
	for _, w := range []int{p.Downtime, p.Stranded} {
		if w < 0 || w > MaxWeight {
			return fmt.Errorf("%w: weight is %d, allowed are 0 to %d", ErrBadValue, w, MaxWeight)
		}
	}
	return nil
}

// Drain marks an instance that an operator takes out of use.
type Drain struct {
	Instance InstanceID `msgpack:"i" json:"instance"`
	Revision Revision   `msgpack:"rev" json:"revision"`
}
