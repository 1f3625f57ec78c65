package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// changedEntries is how many entries the changes go round.
const changedEntries = 64

// Changer applies one changed entry after another, each against the newest
// revision, as operators do.
type Changer struct {
	client   *Client
	customer string
	class    string
	mu       sync.Mutex
	revision uint64
}

// NewChanger reads the revision to start from. The customer and the class must
// be declared; a class that no worker can run keeps the changes from starting
// work, so that their own cost is measured.
func NewChanger(ctx context.Context, client *Client, server, customer, class string) (*Changer, error) {
	text, err := client.Call(ctx, http.MethodGet, server+api.PathDeclarations, "", nil)
	if err != nil {
		return nil, err
	}
	current := api.Declarations{}
	if err := json.Unmarshal(text, &current); err != nil {
		return nil, failure.Wrap(failure.WrongAnswer, err, "declarations")
	}
	return &Changer{client: client, customer: customer, class: class, revision: current.Revision}, nil
}

// Revision is that of the newest change applied.
func (c *Changer) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Do applies one change.
func (c *Changer) Do(ctx context.Context, server string, number int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := fmt.Sprintf("load-%d", number%changedEntries)
	item := &controlpb.Item{Key: declaration.EntryKey(name), Body: &controlpb.Item_Entry{Entry: &controlpb.Entry{
		Name:       name,
		Customer:   c.customer,
		WorkClass:  c.class,
		PeriodMs:   never,
		Attributes: map[string]string{"number": fmt.Sprint(number)},
	}}}
	encoded, err := protojson.Marshal(item)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode")
	}
	body, err := json.Marshal(api.ApplyRequest{
		Client: ulid.Make().String(), Sequence: 1, ExpectedRevision: c.revision, Set: [][]byte{encoded},
	})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode")
	}
	text, err := c.client.Call(ctx, http.MethodPost, server+api.PathDeclarations, "", body)
	if err != nil {
		return err
	}
	reply := api.ApplyReply{}
	if err := json.Unmarshal(text, &reply); err != nil {
		return failure.Ran(failure.WrongAnswer, failure.NotRunFalse, err, "apply")
	}
	c.revision = reply.Revision
	return nil
}

// never is a period so long that one job a changed entry is all that comes.
const never = int64(100 * 365 * 24 * 60 * 60 * 1000)
