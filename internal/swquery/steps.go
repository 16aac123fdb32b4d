package swquery

import "context"

// step is one stage of a query. Run returns a *swcode.Error to refuse the query, or a *restartError to start again at the pin
// step.
type step interface {
	String() string
	Run(ctx context.Context, execution *execution) error
}

// newSteps returns the stages of a query in the order in which they run.
func (engine *Engine) newSteps() []step {
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

// pinIndex returns the index of the pin step.
func (engine *Engine) pinIndex() int {
	for i := range engine.steps {
		if _, ok := engine.steps[i].(*pinStep); ok {
			return i
		}
	}
	return 0
}
