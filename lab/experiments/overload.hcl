experiment {
  title  = "More than the fleet can do: arrivals triple, and a quarter of the servers are four times slower"
  mode   = "sockets"
  length = "40s"
  seeds  = [1, 2, 3]
}

world {
  balancers    = 3
  zones        = 2
  outer_limit  = "1800ms"
  setup_goal   = "300ms"
  message_goal = "250ms"
  message_each = "1s"
  group_cost   = 0.5
  sheds        = "2s"
  notice       = ["200ms", "1s"]

  warmup {
    from     = "20%"
    for      = "15s"
    multiple = 3
    within   = "1500ms"
  }
  store {
    rate = 200
    time = "5ms"
    wait = "1s"
  }
  server "fast" {
    count = 4
    cores = 3
    speed = 1.8
    fills = 25
  }
  server "mid" {
    count = 4
    cores = 3
    speed = 1.2
    fills = 25
  }
  server "slow" {
    count = 4
    cores = 3
    speed = 0.8
    fills = 25
  }
}

load {
  standing = 700
  fill     = "6s"
  rate     = 24
  life     = "30s"
  groups   = 60
  spread   = 0.5

  burst {
    at    = "12s"
    for   = "6s"
    times = 3
  }
}

fault "slow" {
  at    = "10s"
  for   = "15s"
  part  = "25%"
  times = 4
}

arm "ours" {}
arm "random" {
  policy = "random"
}
arm "least" {
  policy = "least"
}
arm "hash" {
  policy = "hash"
}
