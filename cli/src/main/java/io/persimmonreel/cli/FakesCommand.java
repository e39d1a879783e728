package io.persimmonreel.cli;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationException;
import io.persimmonreel.core.config.OperatorTextParser;
import io.persimmonreel.fakes.FakePlatform;
import io.persimmonreel.fakes.FakeUpstreams;
import io.persimmonreel.fakes.HostEntry;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs stand-ins for the upstreams and the platform of an operator text. */
final class FakesCommand implements Command {
    private static final int HIGHEST_PORT = 65_535;
    private static final int MAXIMUM_SECONDS = 86_400;

    @Override
    public String name() {
        return "fakes";
    }

    @Override
    public String summary() {
        return "Run stand-ins for the upstreams and the platform of an operator text.";
    }

    @Override
    public void declare(final FlagSet flags) {
        flags.positional("file", "the operator text")
                .value("platform-host", "127.0.0.1", "IP number of the platform")
                .value("platform-port", "9300", "port of the platform, 0 for any free one")
                .value("hosts", "", "daemons of the host list, SLOT=IP:PORT@ZONE by comma")
                .toggle("free-ports", "use free ports instead of the configured ones")
                .value("seconds", "0", "time to run; 0 runs until the process is ended");
    }

    @Override
    public int run(final Flags flags, final PrintStream out, final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final String file = flags.text("file");
        final String text = Files.readString(Path.of(file));
        final Configuration configuration;
        try {
            configuration = new OperatorTextParser().parse(file, 1, text);
        } catch (final ConfigurationException e) {
            throw new BadInputException(e.getMessage());
        }
        final int seconds = flags.integer("seconds", 0, MAXIMUM_SECONDS);
        final List<HostEntry> hosts = hosts(flags);
        try (FakeUpstreams fleet =
                        flags.isSet("free-ports")
                                ? FakeUpstreams.onFreePorts(configuration)
                                : FakeUpstreams.onConfiguredPorts(configuration);
                FakePlatform platform =
                        new FakePlatform(
                                flags.text("platform-host"),
                                flags.integer("platform-port", 0, HIGHEST_PORT))) {
            fleet.start();
            platform.publish(fleet.replaceAddresses(text));
            platform.publishHosts(hosts);
            platform.start();
            fleet.engines().forEach((id, e) -> out.println("fakes: " + id + " " + e.address()));
            fleet.plainServices()
                    .forEach((id, s) -> out.println("fakes: " + id + " " + s.address()));
            out.println("fakes: platform " + platform.address());
            out.println("fakes: ready");
            waitFor(seconds);
        }
        return OK;
    }

    private static void waitFor(final int seconds) throws InterruptedException {
        if (seconds > 0) {
            TimeUnit.SECONDS.sleep(seconds);
        } else {
            Thread.currentThread().join();
        }
    }

    private static List<HostEntry> hosts(final Flags flags) throws BadInputException {
        final List<HostEntry> hosts = new ArrayList<>();
        for (final String part : flags.list("hosts")) {
            if (!part.matches("\\d{1,6}=[0-9.]+:\\d{1,5}@[A-Za-z0-9_-]+")) {
                throw new BadInputException("--hosts: '" + part + "' is not SLOT=IP:PORT@ZONE");
            }
            final String[] fields = part.split("[=@]");
            hosts.add(new HostEntry(Integer.parseInt(fields[0]), fields[1], fields[2], "live"));
        }
        return hosts;
    }
}
