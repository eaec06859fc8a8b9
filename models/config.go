package models

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrBadValue is returned by the Check methods for a value that is out of range or malformed.
var ErrBadValue = errors.New("bad value")

// Upper limits of the fields Model.Members, Model.Replicas, Workspace.Share, and of both
// weights of Policy.
const (
	MaxMembers  = 64
	MaxReplicas = 4096
	MaxShare    = 1000
	MaxWeight   = 1000
)

// PlacementRule limits where the instances of a model, service or workspace may run. An empty list
// allows every zone or every fabric domain.
type PlacementRule struct {
	Zones   []Zone   `msgpack:"z" json:"zones,omitempty"`
	Domains []Domain `msgpack:"d" json:"domains,omitempty"`
}

// Allows reports whether both the zone and the fabric domain are allowed.
//
// See Example_placementRule.
func (p PlacementRule) Allows(z Zone, d Domain) bool {
	return (len(p.Zones) == 0 || slices.Contains(p.Zones, z)) &&
		(len(p.Domains) == 0 || slices.Contains(p.Domains, d))
}

// Model declares a model: the version to serve, the number of instances in each replica
// group, the number of replica groups, and where they may run.
type Model struct {
	Name      ModelName     `msgpack:"n" json:"name"`
	Version   Version       `msgpack:"v" json:"version"`
	Members   int           `msgpack:"m" json:"members"`
	Replicas  int           `msgpack:"r" json:"replicas"`
	Placement PlacementRule `msgpack:"p" json:"place"`
	Revision  Revision      `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadName if a name is invalid, and ErrBadValue if Members or Replicas is
// out of range.
func (m Model) Check() error {
	if err := errors.Join(CheckName(m.Name), CheckName(m.Version), m.Placement.check()); err != nil {
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

func (p PlacementRule) check() error {
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

// Service declares a plain service, which serves no models, and where its instances may be
// used.
type Service struct {
	Name      ServiceName   `msgpack:"n" json:"name"`
	Placement PlacementRule `msgpack:"p" json:"place"`
	Revision  Revision      `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadName if the service's name, a zone or a fabric domain is invalid.
func (s Service) Check() error {
	return errors.Join(CheckName(s.Name), s.Placement.check())
}

// ModelRule allows a workspace to use a model. An empty version allows every version of it.
type ModelRule struct {
	Model   ModelName `msgpack:"m" json:"model"`
	Version Version   `msgpack:"v" json:"version,omitempty"`
}

// String formats the rule as operators write it: brief or brief@v2.
func (r ModelRule) String() string {
	if r.Version == "" {
		return string(r.Model)
	}
	return string(r.Model) + "@" + string(r.Version)
}

// ParseModelRule parses the format of ModelRule.String.
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

// Workspace declares which models and services its callers may use, where their requests
// may run, and its share of the capacity.
type Workspace struct {
	Name      WorkspaceName `msgpack:"n" json:"name"`
	Models    []ModelRule   `msgpack:"m" json:"models,omitempty"`
	Services  []ServiceName `msgpack:"s" json:"services,omitempty"`
	Placement PlacementRule `msgpack:"p" json:"place"`
	// Share is the workspace's weight relative to other workspaces under load.
	Share int `msgpack:"w" json:"share"`
	// Concurrent limits the requests in flight on all daemons together; 0 sets no limit.
	Concurrent int `msgpack:"c" json:"concurrent,omitempty"`
	// Tokens are the hex SHA-256 hashes of the tokens that callers send.
	Tokens   []string `msgpack:"t" json:"tokens,omitempty"`
	Revision Revision `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadName if a name is invalid, and ErrBadValue if Share, Concurrent or a
// token hash is.
func (w Workspace) Check() error {
	if err := errors.Join(CheckName(w.Name), w.Placement.check()); err != nil {
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

// AllowsModel reports whether the workspace may use this version of the model.
func (w Workspace) AllowsModel(m ModelName, v Version) bool {
	return slices.ContainsFunc(w.Models, func(r ModelRule) bool {
		return r.Model == m && (r.Version == "" || r.Version == v)
	})
}

// Right is the permission of an operator.
type Right string

// The rights of operators: RightAsk allows queries, RightChange allows queries and changes of
// the configuration.
const (
	RightAsk    Right = "ask"
	RightChange Right = "change"
)

// Operator declares a person or program that may query a daemon or change the configuration.
type Operator struct {
	Name     OperatorName `msgpack:"n" json:"name"`
	Right    Right        `msgpack:"r" json:"right"`
	Tokens   []string     `msgpack:"t" json:"tokens,omitempty"`
	Revision Revision     `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadName if the name is invalid, and ErrBadValue if the right or a token
// hash is.
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

// Policy holds the weights of the two costs that the planner minimizes.
type Policy struct {
	// DowntimeWeight is the cost of one second of downtime of a group, StrandedWeight the cost of one
	// accelerator that is stranded for one second.
	DowntimeWeight int      `msgpack:"d" json:"downtime"`
	StrandedWeight int      `msgpack:"s" json:"stranded"`
	Revision       Revision `msgpack:"rev" json:"revision"`
}

// Check returns ErrBadValue if a weight is out of range.
func (p Policy) Check() error {
	for _, w := range []int{p.DowntimeWeight, p.StrandedWeight} {
		if w < 0 || w > MaxWeight {
			return fmt.Errorf("%w: weight is %d, allowed are 0 to %d", ErrBadValue, w, MaxWeight)
		}
	}
	return nil
}

// Drain marks an instance that an operator is draining.
type Drain struct {
	Instance InstanceID `msgpack:"i" json:"instance"`
	Revision Revision   `msgpack:"rev" json:"revision"`
}
