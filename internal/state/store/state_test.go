package store_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

func encode(t is.T, message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	is.New(t).NoErr(err)
	return data
}

// Replicas that applied the same log encode to the same bytes, even if one of them was
// restored from a snapshot in between. Otherwise a restart would change the replica's
// results.
func TestReplicasAreByteIdentical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, restored := store.New(), store.New()
		now := int64(1_000_000)
		for index := uint64(1); index <= uint64(rapid.IntRange(1, 300).Draw(t, "length")); index++ {
			now += rapid.Int64Range(0, 40_000).Draw(t, "passed")
			command := anyCommand(t, direct)
			command.TimeMs = now
			encoded := encode(t, command)
			var first, second *controlpb.Result
			direct, first = direct.Apply(index, decode(t, encoded))
			restored, second = restored.Apply(index, decode(t, encoded))
			if !bytes.Equal(encode(t, first), encode(t, second)) {
				t.Fatalf("results differ at %d: %v and %v", index, first, second)
			}
			if rapid.IntRange(0, 50).Draw(t, "restore") == 0 {
				snapshot := &controlpb.Snapshot{}
				if err := proto.Unmarshal(encode(t, restored.Snapshot()), snapshot); err != nil {
					t.Fatal(err)
				}
				restored = store.Restore(snapshot)
			}
		}
		if !bytes.Equal(encode(t, direct.Snapshot()), encode(t, restored.Snapshot())) {
			t.Fatal("states differ")
		}
	})
}

func decode(t is.T, data []byte) *controlpb.Command {
	command := &controlpb.Command{}
	is.New(t).NoErr(proto.Unmarshal(data, command))
	return command
}

func anyCommand(t *rapid.T, state *store.State) *controlpb.Command {
	command := &controlpb.Command{}
	if rapid.Bool().Draw(t, "session") {
		command.Client = fmt.Sprint("c", rapid.IntRange(0, 5).Draw(t, "client"))
		command.Sequence = rapid.Uint64Range(1, 60).Draw(t, "sequence")
	}
	id := fmt.Sprint("job-", rapid.IntRange(0, 8).Draw(t, "job"))
	switch rapid.IntRange(0, 5).Draw(t, "op") {
	case 0:
		item := &controlpb.Item{Key: "entry/" + id, Body: &controlpb.Item_Entry{Entry: &controlpb.Entry{
			Name: id, Attributes: map[string]string{"a": "1", "b": "2", "c": "3"},
		}}}
		expected := state.Revision() + rapid.Uint64Range(0, 1).Draw(t, "stale")
		command.Op = &controlpb.Command_Apply{Apply: &controlpb.ApplyItems{ExpectedRevision: expected, Set: []*controlpb.Item{item}}}
	case 1:
		job := &controlpb.Job{Id: id, Customer: "crews", Tasks: 1, Accelerators: 1}
		command.Op = &controlpb.Command_Submit{Submit: &controlpb.SubmitJob{Job: job}}
	case 2:
		command.Op = &controlpb.Command_Cancel{Cancel: &controlpb.CancelJob{Id: id}}
	case 3:
		place := &controlpb.Placement{Worker: "w", Accelerators: []uint32{rapid.Uint32Range(0, 3).Draw(t, "accelerator")}}
		assignment := &controlpb.Assignment{Job: id, Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch"), Placements: []*controlpb.Placement{place}}
		command.Op = &controlpb.Command_Plan{Plan: &controlpb.CommitPlan{Assignments: []*controlpb.Assignment{assignment}}}
	case 4:
		move := &controlpb.MoveJob{Job: id, Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch"), State: controlpb.JobState_JOB_STATE_RUNNING}
		command.Op = &controlpb.Command_Move{Move: move}
	case 5:
		drain := &controlpb.SetDrain{Upstream: id, Drained: rapid.Bool().Draw(t, "drained")}
		command.Op = &controlpb.Command_Drain{Drain: drain}
	}
	return command
}

// newSessionCommand returns a command of a client session that succeeds when it is first
// applied.
func newSessionCommand(client string, sequence uint64, now int64, state *store.State) *controlpb.Command {
	item := &controlpb.Item{Key: fmt.Sprint("customer/", client, sequence)}
	apply := &controlpb.ApplyItems{ExpectedRevision: state.Revision(), Set: []*controlpb.Item{item}}
	return &controlpb.Command{Client: client, Sequence: sequence, TimeMs: now, Op: &controlpb.Command_Apply{Apply: apply}}
}

// A client has several commands in flight and a later one is applied first. The earlier
// ones must still be applied, and a resend of any of them must get the first result instead
// of being applied again.
func TestSessionAcceptsCommandsOutOfOrder(t *testing.T) {
	is := is.New(t)
	state, index := store.New(), uint64(0)
	revisions := map[uint64]uint64{}
	for _, sequence := range []uint64{3, 1, 7, 2} {
		index++
		var result *controlpb.Result
		state, result = state.Apply(index, newSessionCommand("c", sequence, 1, state))
		is.Equal(result.Code, "")
		revisions[sequence] = result.Revision
	}
	for sequence, revision := range revisions {
		index++
		var result *controlpb.Result
		state, result = state.Apply(index, newSessionCommand("c", sequence, 1, state))
		is.Equal(result.Revision, revision)
	}
	is.Equal(state.Revision(), uint64(4))
}

// The oldest results of a long session are evicted. A resend of such a command can't be
// distinguished from a new command, so it is refused instead of applied.
func TestResendOfEvictedResultIsRefused(t *testing.T) {
	is := is.New(t)
	state := store.New()
	for sequence := uint64(1); sequence <= 100; sequence++ {
		state, _ = state.Apply(sequence, newSessionCommand("c", sequence, 1, state))
	}
	state, result := state.Apply(101, newSessionCommand("c", 1, 1, state))
	is.Equal(result.Code, string(failure.StaleSequence))
	is.Equal(state.Revision(), uint64(100))
	is.True(len(state.Snapshot().Sessions[0].Results) < 50)
}

// There are more clients than sessions. A session whose client may still resend isn't
// evicted, or a resend would be applied twice: new clients are refused without running
// until old sessions may be evicted.
func TestSessionsAreBounded(t *testing.T) {
	is := is.New(t)
	state, index := store.New(), uint64(0)
	var result *controlpb.Result
	for result.GetCode() == "" {
		index++
		state, result = state.Apply(index, newSessionCommand(fmt.Sprint("c", index), 1, 1000, state))
		is.True(index < 100_000)
	}
	is.Equal(result.Code, string(failure.Overloaded))
	state, result = state.Apply(index+1, newSessionCommand("c1", 1, 1000, state))
	is.Equal(result.Revision, uint64(1))

	state = store.Restore(state.Snapshot())
	later := int64(1000 + 6*60*1000)
	state, result = state.Apply(index+2, newSessionCommand("late", 1, later, state))
	is.Equal(result.Code, "")
	is.True(len(state.Snapshot().Sessions) < int(index))

	for index += 3; index < 50_000; index++ {
		state, _ = state.Apply(index, &controlpb.Command{TimeMs: later + 59*60*1000})
	}
	is.Equal(len(state.Snapshot().Sessions), 1)
	is.Equal(state.Snapshot().Sessions[0].Client, "late")
}

// A newer version wrote fields that this one doesn't know into an item and into the
// snapshot. They must survive a restart of this version, so that the newer one still finds
// them.
func TestUnknownFieldsArePreserved(t *testing.T) {
	is := is.New(t)
	newer := protowire.AppendTag(nil, 1000, protowire.BytesType)
	newer = protowire.AppendString(newer, "of a newer process")
	item := &controlpb.Item{Key: "customer/a"}
	item.ProtoReflect().SetUnknown(newer)
	snapshot := &controlpb.Snapshot{Index: 5, Items: []*controlpb.Item{item}}
	snapshot.ProtoReflect().SetUnknown(newer)

	read := &controlpb.Snapshot{}
	is.NoErr(proto.Unmarshal(encode(t, snapshot), read))
	state, _ := store.Restore(read).Apply(6, &controlpb.Command{})
	kept := state.Snapshot()
	is.Equal([]byte(kept.ProtoReflect().GetUnknown()), newer)
	is.Equal([]byte(kept.Items[0].ProtoReflect().GetUnknown()), newer)
}

// A command that only a newer version supports must be detected: if it were skipped, this
// replica's state would diverge from the others'.
func TestUnknownCommandIsNotSkipped(t *testing.T) {
	is := is.New(t)
	is.True(store.Supports(&controlpb.Command{}))
	is.True(store.Supports(newSessionCommand("c", 1, 1, store.New())))
	newer := protowire.AppendTag(nil, 1000, protowire.BytesType)
	newer = protowire.AppendBytes(newer, nil)
	is.True(!store.Supports(decode(t, newer)))
}
