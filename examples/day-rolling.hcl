# A rolling replacement of seven of eight nodes within 30 s: each is drained for a cold successor. Under an xDS server
# (--list delta or whole) its streams break, it repeats an old state, sends a wrong update and starts anew meanwhile.
seed     = 7
length   = "34s"
config   = "canteen.hcl"
gateways = 3
shards   = 8

node "a" {
  shard = 0
  cores = 2
  unit  = "5ms"
  queue = 64
}
node "b" {
  shard = 1
  cores = 2
  unit  = "5ms"
  queue = 64
}
node "c" {
  shard = 2
  cores = 2
  unit  = "5ms"
  queue = 64
}
node "d" {
  shard = 3
  cores = 2
  unit  = "5ms"
  queue = 64
}
node "e" {
  shard = 4
  cores = 2
  unit  = "5ms"
  queue = 64
}
node "f" {
  shard = 5
  cores = 2
  unit  = "5ms"
  queue = 64
}
node "g" {
  shard = 6
  cores = 2
  unit  = "5ms"
  queue = 64
}
node "h" {
  shard = 7
  cores = 2
  unit  = "5ms"
  queue = 64
}

client "kitchen" {
  count  = 6
  volume = "orders"
  do     = "read"
  rate   = 20
  files  = 4
  blocks = 4
  retries = 1
}
client "cook" {
  count  = 3
  volume = "orders"
  do     = "write"
  rate   = 8
  files  = 3
  blocks = 4
  retries = 1
}
client "office" {
  count  = 3
  volume = "orders"
  do     = "create"
  rate   = 3
  retries = 1
}
client "billing" {
  count  = 3
  volume = "exports"
  do     = "read"
  rate   = 5
  bytes  = 131072
  files  = 3
  blocks = 4
}

trouble {
  at   = "2s"
  node = "a"
  do   = "replace"
}
trouble {
  at   = "6s"
  node = "b"
  do   = "replace"
}
trouble {
  at   = "10s"
  node = "c"
  do   = "replace"
}
trouble {
  at   = "14s"
  node = "d"
  do   = "replace"
}
trouble {
  at   = "18s"
  node = "e"
  do   = "replace"
}
trouble {
  at   = "22s"
  node = "f"
  do   = "replace"
}
trouble {
  at   = "26s"
  node = "g"
  do   = "replace"
}
trouble {
  at    = "4s"
  plane = "cut"
}
trouble {
  at    = "8s"
  plane = "old"
}
trouble {
  at    = "9s"
  plane = "broken endpoints"
}
trouble {
  at    = "11s"
  plane = "mend"
}
trouble {
  at    = "15s"
  plane = "restart"
}
trouble {
  at    = "20s"
  plane = "refuse on"
}
trouble {
  at    = "21s"
  plane = "cut"
}
trouble {
  at    = "23s"
  plane = "refuse off"
}
