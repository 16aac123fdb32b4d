package swquery

import "context"

// step is one stage of a query. Run returns a *swcode.Error to refuse the query, or a *restartError to take it back to
// the pin.
type step interface {
	String() string
	Run(ctx context.Context, execution *execution) error
}

// orderedSteps returns the stages of a query in their order.
func (engine *Engine) orderedSteps() []step {
	return []step{
		&checkStep{maxTimeout: engine.config.MaxTimeout},
		&matchStep{rules: engine.config.Rules, quarantine: engine.config.Quarantine},
		&admitStep{limiter: engine.config.Limiter},
		engine.pin,
		&planStep{engine: engine},
		&scatterStep{engine: engine},
		&gatherStep{engine: engine},
		&mergeStep{},
	}
}

// pinPosition returns the place of the pin among the steps.
func (engine *Engine) pinPosition() int {
	for i := range engine.steps {
		if _, ok := engine.steps[i].(*pinStep); ok {
			return i
		}
	}
	return 0
}
