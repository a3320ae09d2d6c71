# Both fronts at once on the same volumes: files and a disk for orders, files and a disk for exports, while a node fails,
# one is slow, one is replaced and the gateway of the disks is killed.
seed     = 7
length   = "24s"
config   = "canteen.hcl"
gateways = 2

node "a" {
  shard = 0
  cores = 2
  unit  = "4ms"
  queue = 64
}
node "b" {
  shard = 1
  cores = 2
  unit  = "4ms"
  queue = 64
}
node "c" {
  shard = 2
  cores = 2
  unit  = "6ms"
  queue = 64
}

client "kitchen" {
  count  = 4
  volume = "orders"
  do     = "read"
  rate   = 12
  files  = 3
  blocks = 4
  retries = 1
}
client "cook" {
  count  = 2
  volume = "orders"
  do     = "write"
  rate   = 6
  files  = 2
  blocks = 4
  retries = 1
}
client "till" {
  count  = 3
  volume = "orders"
  do     = "disk-read"
  rate   = 12
  blocks = 16
  retries = 1
  gateway = "g1"
}
client "ledger" {
  count  = 2
  volume = "orders"
  do     = "disk-write"
  rate   = 6
  blocks = 16
  retries = 1
  gateway = "g1"
}
client "billing" {
  count  = 2
  volume = "exports"
  do     = "read"
  rate   = 4
  bytes  = 131072
  files  = 2
  blocks = 4
}
client "archive" {
  count  = 2
  volume = "exports"
  do     = "disk-read"
  rate   = 4
  bytes  = 131072
  blocks = 8
  gateway = "g1"
}
trouble {
  at   = "2s"
  for  = "4s"
  node = "a"
  do   = "fail 0.5"
}
trouble {
  at   = "7s"
  for  = "3s"
  node = "b"
  do   = "slow 4"
}
trouble {
  at   = "11s"
  node = "c"
  do   = "replace"
}
trouble {
  at      = "17s"
  for     = "1s"
  gateway = "g1"
  do      = "kill"
}
