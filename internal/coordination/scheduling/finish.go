package scheduling

import "pinewinch.example/pinewinch/internal/protocol/controlpb"

// RunFactor returns the work that a run does in one second of its time, in seconds of a
// worker of the usual speed: the speed of its slowest member, less what it loses away from
// its data or over several racks. workerOf returns a worker's rack and speed, which is 0 if
// it is unknown.
func RunFactor(job *controlpb.Job, workerOf func(id string) (rack string, speed float64)) float64 {
	slowest, rack, racks := 0.0, "", 0
	for _, placement := range job.Placements {
		on, speed := workerOf(placement.Worker)
		if speed = usableSpeed(speed); slowest == 0 || speed < slowest {
			slowest = speed
		}
		if racks == 0 || on != rack {
			rack, racks = on, racks+1
		}
	}
	if slowest == 0 {
		return 1
	}
	return slowest / remoteFactor(job, rack, racks > 1)
}

// Limits of a speed that estimates use: an estimate outside is an error of the observation.
const (
	minSpeed = 0.05
	maxSpeed = 4.0
)

func usableSpeed(speed float64) float64 {
	if speed == 0 {
		return 1
	}
	return min(max(speed, minSpeed), maxSpeed)
}

// remoteFactor is the factor by which a job runs longer on workers of one rack, or of
// several, than close to its data.
func remoteFactor(job *controlpb.Job, rack string, severalRacks bool) float64 {
	if severalRacks && (job.TightlyCoupled || job.DataRack != "") || job.DataRack != "" && rack != job.DataRack {
		return remoteSlowdown
	}
	return 1
}
