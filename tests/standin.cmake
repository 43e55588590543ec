# Stand-ins for backend servers and the platform: a library for tests, and a program for scripts/local-fleet.
add_library(banyan_standin STATIC standin.cpp relay.cpp)
target_link_libraries(banyan_standin PUBLIC banyan_base restinio::restinio)
add_executable(standin standin_main.cpp)
target_link_libraries(standin PRIVATE banyan_standin)

# Starts fleets of real processes and checks recorded histories.
add_library(banyan_fleet_tests STATIC fleet.cpp history.cpp)
target_link_libraries(banyan_fleet_tests PUBLIC banyan_base CURL::libcurl)
target_compile_definitions(banyan_fleet_tests PRIVATE BANYANLEDGE_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
                           BANYANLEDGE_BUILD_DIR="${CMAKE_BINARY_DIR}")
banyan_test(test_history unit test_history.cpp LINK banyan_fleet_tests)

add_library(asio_headers INTERFACE)
target_compile_definitions(asio_headers INTERFACE ASIO_STANDALONE)

banyan_test(test_view unit test_view.cpp LINK banyan_decide)

# Process tests need the daemon, the command-line client and the stand-ins.
if(TARGET banyanledged)
    foreach(name path rows repair withdrawal once drains moves)
        banyan_test(test_${name} processes test_${name}.cpp LINK banyan_fleet_tests asio_headers)
        foreach(program banyanledged banyanledge standin)
            if(TARGET ${program})
                add_dependencies(test_${name} ${program})
            endif()
        endforeach()
    endforeach()
endif()

if(TARGET banyan_ledger)
    add_executable(bench_capacity bench_capacity.cpp)
    target_link_libraries(bench_capacity PRIVATE banyan_ledger banyan_decide asio_headers)
endif()

if(TARGET banyanledged)
    add_executable(bench_fleet bench_fleet.cpp)
    target_link_libraries(bench_fleet PRIVATE banyan_fleet_tests)
    add_executable(bench_inforce bench_inforce.cpp)
    target_link_libraries(bench_inforce PRIVATE banyan_fleet_tests)
endif()
