package steps

import "fmt"

type (
	// decision is the action that a request for a step requires.
	decision interface{ isDecision() }

	// sampleStep generates a new sample set.
	sampleStep struct{ attempt uint32 }

	// deliverStep delivers the sealed sample set.
	deliverStep struct{}

	// refuseStep refuses a request that is out of order, or that has other groups
	// than an earlier request for the step; the answer is final.
	refuseStep struct {
		reason   string
		expected uint64
	}
)

func (sampleStep) isDecision()  {}
func (deliverStep) isDecision() {}
func (refuseStep) isDecision()  {}

// decide returns the decision for a request for a step, given the stored
// record. digest identifies the requested groups. A request for the next step
// acknowledges the sealed one.
func decide(record Record, exists bool, step uint64, digest string) decision {
	switch {
	case !exists:
		return sampleStep{attempt: 1}
	case step == record.Step && record.Request != digest:
		return refuseStep{reason: "the step was asked for with other groups before", expected: record.Step}
	case step == record.Step && record.State == stateSealed:
		return deliverStep{}
	case step == record.Step:
		return sampleStep{attempt: record.Attempt}
	case step == record.Step+1 && record.State == stateSealed:
		return sampleStep{attempt: 1}
	case step == record.Step+1:
		return refuseStep{
			reason:   fmt.Sprintf("step %d has not been delivered yet", record.Step),
			expected: record.Step,
		}
	case step < record.Step:
		return refuseStep{reason: "the step was acknowledged and is gone", expected: record.Step + 1}
	default:
		return refuseStep{reason: "the step is ahead of its turn", expected: record.Step + 1}
	}
}
