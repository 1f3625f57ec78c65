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

// changedEntries is the number of entries that the changes cycle through.
const changedEntries = 64

// Changer changes declared entries one after another, each against the newest revision, as
// operators do. It is safe for concurrent use; changes are applied one at a time.
type Changer struct {
	client   *Client
	customer string
	class    string
	mu       sync.Mutex
	revision uint64
}

// NewChanger reads the current revision from a server. The customer and the class must be
// declared. With a class that no worker can run the changes start no work, so that only
// their own cost is measured.
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

// Revision is the revision of the newest applied change.
func (c *Changer) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Do applies one change through a server; number selects the entry and is its new content.
func (c *Changer) Do(ctx context.Context, server string, number int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := fmt.Sprintf("load-%d", number%changedEntries)
	item := &controlpb.Item{Key: declaration.EntryKey(name), Body: &controlpb.Item_Entry{Entry: &controlpb.Entry{
		Name:       name,
		Customer:   c.customer,
		WorkClass:  c.class,
		PeriodMs:   noRepetitionPeriod,
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

// noRepetitionPeriod is a period in milliseconds, 100 years, that is long enough for each
// changed entry to start at most one job.
const noRepetitionPeriod = int64(100 * 365 * 24 * 60 * 60 * 1000)
