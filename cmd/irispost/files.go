package main

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/sftp"
	"github.com/spf13/cobra"
)

const gatewayDialTimeout = 5 * time.Second

// fileAction executes a file command over a connection to a gateway.
type fileAction func(command *cobra.Command, client *sftp.Client, args []string) error

// fileCommands returns the commands that access files through a gateway.
func fileCommands() []*cobra.Command {
	return []*cobra.Command{
		fileCommand("ls [PATH]", "List a directory", cobra.RangeArgs(0, 1), listFolder),
		fileCommand("stat PATH", "Show a file's or directory's size and modification time", cobra.RangeArgs(1, 1), showFile),
		fileCommand("get PATH [FILE]", "Download a file; FILE - means standard output", cobra.RangeArgs(1, 2), getFile),
		fileCommand("put FILE PATH", "Upload a file; FILE - means standard input", cobra.RangeArgs(2, 2), putFile),
		fileCommand("rm PATH", "Remove a file or an empty directory", cobra.RangeArgs(1, 1), removeFile),
		fileCommand("mkdir PATH", "Create a directory", cobra.RangeArgs(1, 1), makeFolder),
		fileCommand("mv FROM TO", "Rename a file; an existing file TO is replaced", cobra.RangeArgs(2, 2), renameFile),
	}
}

func fileCommand(use, short string, args cobra.PositionalArgs, action fileAction) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, Args: args}
	defaultAddress := cmp.Or(os.Getenv("IRISPOST_AT"), "127.0.0.1:2022")
	address := command.Flags().String("at", defaultAddress,
		"address of a gateway; the environment variable IRISPOST_AT sets the default")
	command.RunE = func(command *cobra.Command, args []string) error {
		conn, err := net.DialTimeout("tcp", *address, gatewayDialTimeout)
		if err != nil {
			return fmt.Errorf("no gateway at %s: %w", *address, err)
		}
		defer func() { _ = conn.Close() }()
		client, err := sftp.NewClientPipe(conn, conn, sftp.UseConcurrentWrites(true))
		if err != nil {
			return fmt.Errorf("cannot open an SFTP session at %s: %w", *address, err)
		}
		defer func() { _ = client.Close() }()
		return action(command, client, args)
	}
	return command
}

func listFolder(command *cobra.Command, client *sftp.Client, args []string) error {
	folder := "/"
	if len(args) > 0 {
		folder = args[0]
	}
	files, err := client.ReadDir(folder)
	if err != nil {
		return err
	}
	slices.SortFunc(files, func(a, b os.FileInfo) int { return strings.Compare(a.Name(), b.Name()) })
	for _, file := range files {
		writeFileInfo(command, file)
	}
	return nil
}

func showFile(command *cobra.Command, client *sftp.Client, args []string) error {
	file, err := client.Stat(args[0])
	if err != nil {
		return err
	}
	writeFileInfo(command, file)
	return nil
}

func writeFileInfo(command *cobra.Command, file os.FileInfo) {
	modified := file.ModTime().UTC().Format(time.DateTime)
	writef(command.OutOrStdout(), "%s %12d %s %s\n", file.Mode(), file.Size(), modified, file.Name())
}

func removeFile(_ *cobra.Command, client *sftp.Client, args []string) error {
	file, err := client.Stat(args[0])
	if err != nil {
		return err
	}
	if file.IsDir() {
		return client.RemoveDirectory(args[0])
	}
	return client.Remove(args[0])
}

func makeFolder(_ *cobra.Command, client *sftp.Client, args []string) error {
	return client.Mkdir(args[0])
}

func renameFile(_ *cobra.Command, client *sftp.Client, args []string) error {
	return client.PosixRename(args[0], args[1])
}
