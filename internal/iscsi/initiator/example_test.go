package initiator_test

import (
	"context"
	"errors"
	"fmt"
	"log"

	"irispost/internal/iscsi/initiator"
	"irispost/internal/iscsi/negotiate"
)

// Opens a disk, changes a block unless another initiator has changed it in the meantime, and commits the change.
func ExampleOpen() {
	ctx := context.Background()
	disk, err := initiator.Open(ctx, initiator.Options{
		Address: "127.0.0.1:3260",
		Name:    "iqn.2026-01.example:host",
		Target:  "iqn.2026-01.example:orders",
		Account: negotiate.Account{Name: "host", Secret: "twelve bytes or more"},
	}, 0, initiator.RetryPolicy{NoRepeatedWrites: true})
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = disk.Close() }()
	old := make([]byte, disk.BlockSize)
	if _, err := disk.ReadAt(old, 0); err != nil {
		log.Fatal(err)
	}
	next := append([]byte("changed"), old[7:]...)
	switch err := disk.CompareAndWrite(ctx, old, next, 0); {
	case errors.Is(err, initiator.ErrMiscompare):
		fmt.Println("another initiator has changed the block")
	case errors.Is(err, initiator.ErrOutcomeUnknown):
		fmt.Println("outcome unknown: read the block to find out")
	case err != nil:
		log.Fatal(err)
	}
	if err := disk.Sync(ctx); err != nil {
		log.Fatal(err)
	}
}

// Lists the targets of a portal.
func ExampleDiscover() {
	targets, err := initiator.Discover(context.Background(), initiator.Options{
		Address: "127.0.0.1:3260",
		Name:    "iqn.2026-01.example:host",
	})
	if err != nil {
		log.Fatal(err)
	}
	for _, target := range targets {
		fmt.Println(target.Name, target.Address)
	}
}
