banyan_test(test_node truth test_node.cpp LINK banyan_ledger)
banyan_test(test_raft truth test_raft.cpp raft_simulation.cpp raft_membership.cpp LINK banyan_control)
set_tests_properties(test_raft PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=40")
# A CTest test of its own, because KNOWN-RED.txt lists it and scripts/test can only skip whole CTest tests.
add_test(NAME test_raft_slow_disk COMMAND test_raft "[slowdisk]")
set_tests_properties(test_raft_slow_disk PROPERTIES LABELS truth TIMEOUT 600)
banyan_test(test_table truth test_table.cpp LINK banyan_ledger banyan_decide)
banyan_test(test_store truth test_store.cpp LINK banyan_ledger)
set_tests_properties(test_table PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=300")

# Benchmark of the replicated log: prints its results as JSON lines.
add_executable(bench_truth bench_truth.cpp)
target_link_libraries(bench_truth PRIVATE banyan_ledger)
banyan_test(test_decisions truth test_decisions.cpp LINK banyan_ledger)
