package state

import (
	"fmt"

	"github.com/lupinkeel/lupinkeel/models"
)

// Op is one operation of a ChangeConfig. Its field Base is the revision of the entity in the
// author's state, 0 if the entity didn't exist.
type Op interface{ op() }

type (
	// PutModel creates or replaces a model.
	PutModel struct {
		Base  models.Revision `msgpack:"b"`
		Model models.Model    `msgpack:"v"`
	}
	// DropModel removes a model.
	DropModel struct {
		Base models.Revision  `msgpack:"b"`
		Name models.ModelName `msgpack:"n"`
	}
	// PutWorkspace creates or replaces a workspace.
	PutWorkspace struct {
		Base      models.Revision  `msgpack:"b"`
		Workspace models.Workspace `msgpack:"v"`
	}
	// DropWorkspace removes a workspace.
	DropWorkspace struct {
		Base models.Revision      `msgpack:"b"`
		Name models.WorkspaceName `msgpack:"n"`
	}
	// PutService creates or replaces a plain service.
	PutService struct {
		Base    models.Revision `msgpack:"b"`
		Service models.Service  `msgpack:"v"`
	}
	// DropService removes a plain service.
	DropService struct {
		Base models.Revision    `msgpack:"b"`
		Name models.ServiceName `msgpack:"n"`
	}
	// PutOperator creates or replaces an operator.
	PutOperator struct {
		Base     models.Revision `msgpack:"b"`
		Operator models.Operator `msgpack:"v"`
	}
	// DropOperator removes an operator.
	DropOperator struct {
		Base models.Revision     `msgpack:"b"`
		Name models.OperatorName `msgpack:"n"`
	}
	// PutPolicy sets the weights of downtime and stranded accelerators.
	PutPolicy struct {
		Base   models.Revision `msgpack:"b"`
		Policy models.Policy   `msgpack:"v"`
	}
	// DrainInstance drains an instance: the planner doesn't use it.
	DrainInstance struct {
		Base     models.Revision   `msgpack:"b"`
		Instance models.InstanceID `msgpack:"i"`
	}
	// UndrainInstance makes a drained instance usable again.
	UndrainInstance struct {
		Base     models.Revision   `msgpack:"b"`
		Instance models.InstanceID `msgpack:"i"`
	}
)

func (PutModel) op()        {}
func (DropModel) op()       {}
func (PutWorkspace) op()    {}
func (DropWorkspace) op()   {}
func (PutService) op()      {}
func (DropService) op()     {}
func (PutOperator) op()     {}
func (DropOperator) op()    {}
func (PutPolicy) op()       {}
func (DrainInstance) op()   {}
func (UndrainInstance) op() {}

const (
	kindPutModel kind = iota + 1
	kindDropModel
	kindPutWorkspace
	kindDropWorkspace
	kindPutService
	kindDropService
	kindPutOperator
	kindDropOperator
	kindPutPolicy
	kindDrainInstance
	kindUndrainInstance
)

func opKind(op Op) kind {
	switch op.(type) {
	case PutModel:
		return kindPutModel
	case DropModel:
		return kindDropModel
	case PutWorkspace:
		return kindPutWorkspace
	case DropWorkspace:
		return kindDropWorkspace
	case PutService:
		return kindPutService
	case DropService:
		return kindDropService
	case PutOperator:
		return kindPutOperator
	case DropOperator:
		return kindDropOperator
	case PutPolicy:
		return kindPutPolicy
	case DrainInstance:
		return kindDrainInstance
	case UndrainInstance:
		return kindUndrainInstance
	default:
		panic(fmt.Sprintf("state: unknown operation %T", op))
	}
}

func decodeOp(wire wireOp) (Op, error) {
	switch wire.Kind {
	case kindPutModel:
		return decodeAs[PutModel](wire.Body)
	case kindDropModel:
		return decodeAs[DropModel](wire.Body)
	case kindPutWorkspace:
		return decodeAs[PutWorkspace](wire.Body)
	case kindDropWorkspace:
		return decodeAs[DropWorkspace](wire.Body)
	case kindPutService:
		return decodeAs[PutService](wire.Body)
	case kindDropService:
		return decodeAs[DropService](wire.Body)
	case kindPutOperator:
		return decodeAs[PutOperator](wire.Body)
	case kindDropOperator:
		return decodeAs[DropOperator](wire.Body)
	case kindPutPolicy:
		return decodeAs[PutPolicy](wire.Body)
	case kindDrainInstance:
		return decodeAs[DrainInstance](wire.Body)
	case kindUndrainInstance:
		return decodeAs[UndrainInstance](wire.Body)
	default:
		return nil, fmt.Errorf("unknown operation %d", wire.Kind)
	}
}
