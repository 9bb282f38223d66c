# A thousand balancers, five hundred servers and a hundred thousand open circuits, in virtual time.
experiment {
  title  = "A thousand balancers through a release, a crash and a slow spell"
  mode   = "virtual"
  length = "60s"
  seeds  = [1, 2]
}

world {
  balancers    = 1000
  zones        = 3
  outer_limit  = "1800ms"
  setup_goal   = "300ms"
  message_goal = "250ms"
  group_cost   = 0.2
  sheds        = "2s"
  notice       = ["500ms", "2s"]

  warmup {
    from     = "20%"
    for      = "20s"
    multiple = 3
    within   = "1500ms"
  }
  store {
    rate = 20000
    time = "5ms"
    wait = "1s"
  }
  server "fast" {
    count = 170
    cores = 8
    speed = 1.8
    fills = 30
  }
  server "mid" {
    count = 170
    cores = 8
    speed = 1.2
    fills = 30
  }
  server "slow" {
    count = 160
    cores = 8
    speed = 0.8
    fills = 30
  }
}

load {
  standing = 105000
  fill     = "20s"
  rate     = 1100
  life     = "100s"
  groups   = 8000
  spread   = 0.5
}

fault "release" {
  at    = "24s"
  for   = "20s"
  part  = "30%"
  batch = "6%"
  drain = "4s"
}
fault "crash" {
  at   = "34s"
  for  = "8s"
  part = "5%"
}
fault "slow" {
  at    = "46s"
  for   = "10s"
  part  = "8%"
  times = 5
}

arm "ours" {
  policy = "ours"
}
arm "random" {
  policy = "random"
}
arm "least" {
  policy = "least"
}
arm "hash" {
  policy = "hash"
}
