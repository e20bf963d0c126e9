package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/platform"
)

// resetFlow refuses a new flow or ends an open one: it counts and logs the reason and sends the caller a reset.
func (f *Forwarder) resetFlow(segment landing.Segment, reason landing.Refusal) {
	f.telemetry.Counters().CountRefusal(reason)
	f.telemetry.Log().Info("flow reset", "flow", address.FormatFlow(segment.Key()), "opening", segment.IsSyn(),
		"copies", segment.EarlierCopies(), "reason", reason.String())
	f.sendReset(segment.Key(), segment.AcknowledgementNumber())
}

// resetFlowsOfEndedProcesses resets the flows that were held by earlier processes of a sidecar's upstream, whose current
// process started at startMillis. The callers then open new flows before they send the next request.
func (f *Forwarder) resetFlowsOfEndedProcesses(sidecarAddress, startMillis uint64) {
	f.resetFlows(f.flows.removeFlowsOfEndedProcesses(sidecarAddress, startMillis), sidecarAddress, "ended")
}

// resetUnanswered resets the claimed flows of the unreachable sidecar at this address whose callers have sent a packet
// since the sidecar fell silent. Without the reset, such a caller would learn of the fault only at its next
// retransmission. Retransmissions become less and less frequent, and the next one may come after the caller's deadline.
func (f *Forwarder) resetUnanswered(sidecarAddress uint64, silentSince time.Time) {
	f.resetFlows(f.flows.removeUnanswered(sidecarAddress, silentSince), sidecarAddress, "dark")
}

// resetFlows sends a reset for each of the flows that the sidecar at this address held, and counts and logs them.
func (f *Forwarder) resetFlows(flows []landing.HeldFlow, sidecarAddress uint64, reason string) {
	if len(flows) == 0 {
		return
	}
	f.telemetry.Log().Info("flows reset", "reason", reason, "sidecar", address.UnpackAddrPort(sidecarAddress).String(), "flows", len(flows))
	for _, flow := range flows {
		f.telemetry.Counters().Counter("reset." + reason).Inc(1)
		f.sendReset(flow.Key(), flow.LastAcknowledged())
	}
}

// sendReset sends the caller of the flow a TCP reset. Its sequence number is lastAcknowledged, the last acknowledgement
// number that the caller sent.
func (f *Forwarder) sendReset(key landing.FlowKey, lastAcknowledged uint32) {
	f.link.SendBytes(platform.NewReset(key, lastAcknowledged).Bytes(), platform.CallerAddress(key, f.callerPort))
}
